import {Result} from 'true-myth';
import {problems, ExecutionStatus} from '../errors/index.js';
import {
  BookDirectory,
  Bookkeeper,
  CallOrder,
  CallOutcome,
  EntryState,
  getBookOfKey,
  getEntryKey,
  getHostBook,
  isMintedKey,
  OutcomeKind,
  parseMintedKey,
} from '../journal/index.js';
import {Log} from '../log/index.js';
import {PeerFailure} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {readCallOutcome, toCallMessage} from './call_message.js';

/** Sends a request to a peer; see `Peers.request`. */
export type RequestPeer = (
  host: string,
  body: unknown,
  timeoutMs: number,
) => Promise<Result<unknown, PeerFailure>>;

/** Options of the at-most-once calls. */
export interface AtMostOnceCallsOptions {
  readonly host: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly bookkeeper: Bookkeeper;
  readonly directory: BookDirectory;
  readonly requestPeer: RequestPeer;
  readonly mintKey: () => string;
}

/** An at-most-once call as the interface for callers passes it on. */
export interface AtMostOnceCall {
  readonly order: CallOrder;
  /** Idempotency-Key: the caller's, or one that this host minted for it. */
  readonly key: string;
  /**
   * Whether the caller states, or this host knows, that the key was never sent
   * before. Only then can a request that reached no host be reported as not run.
   */
  readonly firstAttempt: boolean;
}

const RETRY_INTERVAL_MS = 100;
/** Time-out of a request to one peer, after which the holder is looked up again. */
const PEER_TIMEOUT_MS = 3000;
/** Longest wait for a holder of a book whose last holder has left. */
const HOLDER_TIMEOUT_MS = 3000;

/** Returns the name of the book of a key. */
export function getBookFor(customer: string, key: string): string {
  const minted = isMintedKey(key) ? parseMintedKey(key) : undefined;
  return minted === undefined
    ? getBookOfKey(getEntryKey(customer, key))
    : getHostBook(minted.host, minted.incarnation);
}

/** Sends calls that may run at most once to the holders of their books. */
export class AtMostOnceCalls {
  constructor(private readonly options: AtMostOnceCallsOptions) {}

  /**
   * Runs a call on the host that holds its book.
   *
   * Sending a call to a holder twice is safe, because the book tells a repeated call
   * from a new one. If no answer arrives, the call is therefore sent again until the
   * deadline.
   * @param call - The call.
   */
  async run(call: AtMostOnceCall): Promise<CallOutcome> {
    const {clock} = this.options;
    const {order} = call;
    const book = getBookFor(order.customer, call.key);
    let mayHaveArrived = false;
    const holderDeadlineMs = Math.min(
      order.deadlineMs,
      clock.monotonicMs() + HOLDER_TIMEOUT_MS,
    );
    for (let copy = 0; ; copy++) {
      const attempt = await this.sendToHolder(book, {...order, copy});
      if (attempt.isOk && attempt.value.kind !== OutcomeKind.MOVED) {
        return attempt.value;
      }
      mayHaveArrived ||= attempt.isErr && attempt.error === 'sent';
      const endMs = mayHaveArrived ? order.deadlineMs : holderDeadlineMs;
      if (clock.monotonicMs() + RETRY_INTERVAL_MS >= endMs) {
        return this.failWithoutHolder(call, book, mayHaveArrived);
      }
      await clock.sleep(RETRY_INTERVAL_MS);
    }
  }

  /**
   * Returns the outcome of a call.
   * @param customer - Customer that made the call.
   * @param key - Idempotency-Key of the call.
   * @returns The outcome; `undefined` if none is known.
   */
  async getOutcome(
    customer: string,
    key: string,
  ): Promise<CallOutcome | undefined> {
    const book = getBookFor(customer, key);
    const entryKey = getEntryKey(customer, key);
    const holder = this.options.directory.getHolder(book);
    if (holder === this.options.host) {
      return this.options.bookkeeper.getOutcome(book, entryKey);
    }
    if (holder !== undefined) {
      const body = {kind: 'get-outcome', book, entryKey};
      const reply = await this.options.requestPeer(
        holder,
        body,
        PEER_TIMEOUT_MS,
      );
      if (reply.isOk) {
        const {outcome} = reply.value as {outcome?: unknown};
        return outcome === null || outcome === undefined
          ? undefined
          : readCallOutcome(outcome);
      }
    }
    return this.readOutcome(book, entryKey);
  }

  private async sendToHolder(
    book: string,
    order: CallOrder,
  ): Promise<Result<CallOutcome, 'not-sent' | 'sent'>> {
    const {clock, directory, host} = this.options;
    const holder = directory.getHolder(book);
    if (holder === host) {
      return Result.ok(await this.options.bookkeeper.run(book, order));
    }
    if (holder === undefined) {
      return Result.err('not-sent');
    }
    const nowMs = clock.monotonicMs();
    const body = {kind: 'run-call', call: toCallMessage(book, order, nowMs)};
    const reply = await this.options.requestPeer(
      holder,
      body,
      Math.min(order.deadlineMs - nowMs, PEER_TIMEOUT_MS),
    );
    this.options.log.info('call_forwarded', {
      request: order.requestId,
      book,
      holder,
      reply: reply.isOk ? 'ok' : reply.error.kind,
    });
    if (reply.isErr) {
      return Result.err(reply.error.kind === 'sent' ? 'sent' : 'not-sent');
    }
    return Result.ok(readCallOutcome(reply.value));
  }

  /** Returns what is certain about a call when no holder could be reached. */
  private async failWithoutHolder(
    call: AtMostOnceCall,
    book: string,
    mayHaveArrived: boolean,
  ): Promise<CallOutcome> {
    const recorded = await this.readOutcome(book, call.order.entryKey);
    if (recorded !== undefined) {
      return recorded;
    }
    if (mayHaveArrived || !call.firstAttempt) {
      return {
        kind: OutcomeKind.FAILED,
        problem: problems.outcomeUnknown(
          'the host that holds the book of this key cannot be reached',
        ),
      };
    }
    // No host was reached and the key is new, so no host has ever received it.
    const offered = this.options.mintKey();
    return {
      kind: OutcomeKind.FAILED,
      problem: problems.storeUnavailable(ExecutionStatus.NOT_EXECUTED, offered),
    };
  }

  /**
   * Reads a recorded outcome from the table when its holder cannot be reached.
   * A recorded answer is final; any other state is inconclusive.
   */
  private async readOutcome(
    book: string,
    entryKey: string,
  ): Promise<CallOutcome | undefined> {
    const entry = await this.options.bookkeeper.readEntry(book, entryKey);
    if (entry?.state !== EntryState.FINISHED || entry.answer === undefined) {
      return undefined;
    }
    return {kind: OutcomeKind.ANSWERED, answer: entry.answer, replayed: true};
  }
}
