import {Problem} from '../errors/index.js';
import {Generation, GenerationEvent} from '../generation/index.js';
import {ReadableGeneration} from '../caller/index.js';
import {BookDirectory, getHostBook, parseMintedKey} from '../journal/index.js';
import {PeerFailureKind, Peers} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {fromGenerationRecord, GenerationRecord} from './generation_record.js';

/** Longest time for which a generation is read from another host, in ms. */
const READ_TIMEOUT_MS = 600_000;
/** Pause before a generation is requested on another connection, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** A partial reply of a peer: the head first, then events. */
type ReplyPart =
  {readonly kind: 'head'; readonly record: GenerationRecord} | GenerationEvent;

/** A generation to read, and the caller that reads it. */
interface ReadRequest {
  readonly id: string;
  readonly customer: string;
  readonly signal: AbortSignal;
}

/** Reads generations that run on other hosts, for callers connected to this host. */
export class RemoteGenerationReader {
  /**
   * @param host - Name of this host.
   * @param peers - The connections to other hosts.
   * @param directory - Knows which host runs a generation.
   * @param clock - The clock.
   * @param reconnectMs - Time for which a host that cannot be reached is asked again, in
   *   milliseconds.
   */
  constructor(
    private readonly host: string,
    private readonly peers: Peers,
    private readonly directory: BookDirectory,
    private readonly clock: Clock,
    private readonly reconnectMs: number,
  ) {}

  /**
   * Reads a generation from the host that runs it.
   * @param id - Id of the generation.
   * @param customer - Customer that requests it.
   * @param from - Position of the first token to read.
   * @param signal - Aborts the read.
   * @returns The generation, or `undefined` if no other host has it.
   */
  async read(
    id: string,
    customer: string,
    from: number,
    signal: AbortSignal,
  ): Promise<ReadableGeneration | undefined> {
    return new Promise(resolve => {
      const copy = new GenerationCopy(from, this.clock, local => {
        const events = local.read(from, signal, () => this.clock.monotonicMs());
        resolve({generation: local, events});
      });
      void this.follow({id, customer, signal}, copy).then(() =>
        resolve(undefined),
      );
    });
  }

  /**
   * Requests a generation until it is over. When the connection is closed, for example for
   * silence, it is requested from the next token on, on another one.
   */
  private async follow(
    {id, customer, signal}: ReadRequest,
    copy: GenerationCopy,
  ): Promise<void> {
    let lostMs: number | undefined;
    for (;;) {
      const holder = this.findHolder(id);
      if (holder === undefined || holder === this.host) {
        copy.fail('it is no longer there');
        return;
      }
      const from = copy.getPosition();
      const body = {kind: 'read-generation', id, customer, from};
      const reply = await this.peers.request(
        holder,
        body,
        READ_TIMEOUT_MS,
        part => {
          lostMs = undefined;
          copy.receive(part as ReplyPart);
        },
        signal,
      );
      if (reply.isOk || signal.aborted) {
        return;
      }
      const nowMs = this.clock.monotonicMs();
      lostMs ??= nowMs;
      const isRefused = reply.error.kind === PeerFailureKind.REFUSED;
      const isOver = isRefused || nowMs - lostMs >= this.reconnectMs;
      if (isOver || !copy.hasBegun()) {
        copy.fail(reply.error.message);
        return;
      }
      await this.clock.sleep(RETRY_INTERVAL_MS, signal);
    }
  }

  private findHolder(id: string): string | undefined {
    const minted = parseMintedKey(id);
    if (minted === undefined) {
      return undefined;
    }
    const book = getHostBook(minted.host, minted.incarnation);
    return this.directory.getHolder(book);
  }
}

/** What this host has received of a generation that runs on another one. */
class GenerationCopy {
  private local: Generation | undefined;

  constructor(
    private position: number,
    private readonly clock: Clock,
    private readonly onHead: (local: Generation) => void,
  ) {}

  /** Returns whether the other host has the generation. */
  hasBegun(): boolean {
    return this.local !== undefined;
  }

  /** Returns the position of the next token. */
  getPosition(): number {
    return this.position;
  }

  receive(part: ReplyPart): void {
    if (part.kind === 'head') {
      this.begin(part.record);
    } else if (part.kind === 'token' && part.position === this.position) {
      this.position++;
      this.local?.addToken(part.text);
    } else if (part.kind === 'finished') {
      this.local?.finish(part.reason);
    } else if (part.kind === 'failed') {
      this.local?.fail(part.problem);
    }
  }

  /** Ends the copy because it cannot be continued. */
  fail(detail: string): void {
    this.local?.fail(createReadFailure(detail));
  }

  private begin(record: GenerationRecord): void {
    if (this.local !== undefined) {
      return;
    }
    // Empty texts fill the positions of tokens that the caller already has.
    const seen = new Array<string>(this.position).fill('');
    const nowMs = this.clock.monotonicMs();
    this.local = fromGenerationRecord({...record, texts: seen}, nowMs);
    this.onHead(this.local);
  }
}

function createReadFailure(detail: string): Problem {
  return {
    kind: 'server-failed',
    status: 502,
    detail: `Reading the generation from the host that runs it failed: ${detail}.`,
    remedy: 'Request the events after the last one received.',
    ran: 'unknown',
    retryAfterSeconds: 1,
  };
}
