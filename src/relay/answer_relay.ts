import {
  checkContinuation,
  checkStreamEnd,
  EventSplitter,
  Framing,
  SplitEvents,
} from '../answer/index.js';
import {AnswerSink} from './answer_sink.js';
import {ExchangeAnswer} from './exchange.js';

const CONTENT_LENGTH = 'content-length';
/** Logged in place of the version of a server that another host has chosen. */
const UNKNOWN_VERSION = 'unknown';

/** A run whose answer is relayed. */
export interface RelayedRun {
  /**
   * Called before a part of the answer is relayed.
   * @throws AttemptAborted - If another run of the request is kept in its place.
   */
  readonly keep: () => void;
  /** Called when a part of the answer has arrived. */
  readonly onReceived: () => void;
  /** Called before and after the caller takes a part; no more is read meanwhile. */
  readonly onRelaying: () => void;
  readonly onRelayed: () => void;
  /** Called when an event has an id after which no server can continue. */
  readonly onUnusableId: () => void;
}

/**
 * Relays the answer to one request to its caller, over all attempts. An answer that was
 * begun is only ever continued from the same run.
 */
export class AnswerRelay {
  private begun = false;
  private framing: Framing | undefined;
  private restBytes = 0;
  /** Versions of the servers whose events were relayed, in order; `undefined` is not known. */
  private readonly versions = new Set<string | undefined>();

  /**
   * @param sink - Receives the answer.
   * @param lastEventId - Id of the last event that the caller already has of a stream.
   * @param onFirstEvent - Called when the first event of a stream is relayed.
   */
  constructor(
    private readonly sink: AnswerSink,
    private lastEventId: string | undefined,
    private readonly onFirstEvent: () => void = () => undefined,
  ) {}

  /** Tells whether any part of an answer was relayed. */
  hasBegun(): boolean {
    return this.begun;
  }

  /** Returns the id of the last complete event that was relayed. */
  getLastEventId(): string | undefined {
    return this.lastEventId;
  }

  /** Returns how the end of the last answer was marked; absent if there was none. */
  getFraming(): Framing | undefined {
    return this.framing;
  }

  /** Returns the number of bytes after the last complete event of a stream. */
  getRestBytes(): number {
    return this.restBytes;
  }

  /**
   * Returns the version of the server's software that wrote the first event of a stream; absent
   * if there was none, or if the version is not known.
   */
  getVersion(): string | undefined {
    const [first] = this.versions;
    return first;
  }

  /** Returns the versions of the servers whose events were relayed, in order. */
  listVersions(): readonly string[] {
    return [...this.versions].map(version => version ?? UNKNOWN_VERSION);
  }

  /**
   * Relays a complete answer.
   * @param answer - The answer.
   * @param maxBufferedBytes - Bytes that are buffered until the answer is complete: if it
   *   breaks off before more arrived, the answer of another server can replace it.
   * @param run - The run that brings it.
   * @throws IncompleteAnswer - If the answer breaks off.
   */
  async relayBody(
    answer: ExchangeAnswer,
    maxBufferedBytes: number,
    run: RelayedRun,
  ): Promise<void> {
    const buffered: Uint8Array[] = [];
    let remainingBytes = maxBufferedBytes;
    for await (const bytes of answer.body) {
      run.onReceived();
      remainingBytes -= bytes.length;
      buffered.push(bytes);
      if (remainingBytes < 0) {
        await this.relayBuffered(answer, buffered, run);
      }
    }
    await this.relayBuffered(answer, buffered, run);
    this.sink.end();
  }

  /**
   * Relays a complete stream, event by event; no part of an event is relayed.
   * @param answer - The answer.
   * @param version - Version of the server's software; `undefined` if it is not known.
   * @param run - The run that brings it.
   * @param mayBeStopped - Resolves to whether the server may have stopped the run, as it
   *   was asked to.
   * @throws IncompleteAnswer - If the stream breaks off.
   */
  async relayStream(
    answer: ExchangeAnswer,
    version: string | undefined,
    run: RelayedRun,
    mayBeStopped: () => Promise<boolean>,
  ): Promise<void> {
    const stream = withoutLength(answer);
    /** Id after which the stream is to go on; absent once it did, or if it begins. */
    let continued = this.begun ? this.lastEventId : undefined;
    const splitter = new EventSplitter();
    let unusableIds = 0;
    for await (const piece of answer.body) {
      const events = splitter.add(piece);
      const {bytes, lastId} = events;
      if (splitter.countUnusableIds() > unusableIds) {
        unusableIds = splitter.countUnusableIds();
        run.onUnusableId();
      }
      if (bytes.length === 0) {
        continue;
      }
      if (continued !== undefined) {
        this.checkContinuation(continued, events);
        continued = events.firstId === undefined ? continued : undefined;
      }
      run.keep();
      run.onReceived();
      this.versions.add(version);
      if (!this.begun) {
        this.onFirstEvent();
      }
      this.begin(stream);
      this.lastEventId = lastId ?? this.lastEventId;
      await this.write(bytes, run);
    }
    const {framing} = answer;
    const failure = checkStreamEnd({
      framing,
      isInsideEvent: splitter.isInsideEvent(),
      eventCount: splitter.countEvents(),
      // A marked end is not delayed until it is known.
      mayBeStopped: framing === Framing.CONNECTION && (await mayBeStopped()),
    });
    const rest = splitter.takeRest();
    this.restBytes = rest.length;
    if (failure !== undefined) {
      throw failure;
    }
    await this.relayBuffered(stream, [rest], run);
    this.sink.end();
  }

  /** @throws IncompleteAnswer - If events are repeated. */
  private checkContinuation(lastId: string, {firstId}: SplitEvents): void {
    const failure =
      firstId === undefined ? undefined : checkContinuation(lastId, firstId);
    if (failure !== undefined) {
      throw failure;
    }
  }

  private async relayBuffered(
    answer: ExchangeAnswer,
    buffered: Uint8Array[],
    run: RelayedRun,
  ): Promise<void> {
    run.keep();
    this.begin(answer);
    for (const bytes of buffered.splice(0)) {
      if (bytes.length > 0) {
        await this.write(bytes, run);
      }
    }
  }

  private async write(bytes: Uint8Array, run: RelayedRun): Promise<void> {
    run.onRelaying();
    await this.sink.write(bytes);
    run.onRelayed();
  }

  private begin(answer: ExchangeAnswer): void {
    this.framing = answer.framing;
    if (!this.begun) {
      this.begun = true;
      this.sink.begin(answer.status, answer.headers);
    }
  }
}

/**
 * Returns a stream without its length, which another server that continues it does not keep.
 */
function withoutLength(answer: ExchangeAnswer): ExchangeAnswer {
  const headers = answer.headers.filter(
    ([name]) => name.toLowerCase() !== CONTENT_LENGTH,
  );
  return {...answer, headers};
}
