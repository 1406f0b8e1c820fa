import {Result} from 'true-myth';
import {problems, Ran} from '../errors/index.js';
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

/** What the calls work with. */
export interface OnceCallsOptions {
  readonly host: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly bookkeeper: Bookkeeper;
  readonly directory: BookDirectory;
  readonly requestPeer: RequestPeer;
  readonly mintKey: () => string;
}

/** A call as the callers' interface hands it over. */
export interface OnceCall {
  readonly order: CallOrder;
  /** Idempotency-Key: the caller's, or one minted here for it. */
  readonly key: string;
  /**
   * Whether the caller says, or this host knows, that the key was never sent
   * before. Only then can a request that reached nobody be said not to have
   * run.
   */
  readonly firstAttempt: boolean;
}

const RETRY_MS = 100;
/** Longest wait for one peer, after which its book's holder is looked up again. */
const PEER_PATIENCE_MS = 3000;
/** Wait for a book without a holder, when its last one has left. */
const HOLDER_PATIENCE_MS = 3000;

/** Names the book of a key. */
export function getBookFor(customer: string, key: string): string {
  const minted = isMintedKey(key) ? parseMintedKey(key) : undefined;
  return minted === undefined
    ? getBookOfKey(getEntryKey(customer, key))
    : getHostBook(minted.host, minted.incarnation);
}

/** Brings calls that may run at most once to the holder of their book. */
export class OnceCalls {
  constructor(private readonly options: OnceCallsOptions) {}

  /**
   * Runs a call, wherever its book is held.
   *
   * Asking a holder twice is safe: the book tells a repeated call from a new
   * one. So lost peers are simply asked again, until the deadline.
   * @param call - The call.
   */
  async run(call: OnceCall): Promise<CallOutcome> {
    const {clock} = this.options;
    const {order} = call;
    const book = getBookFor(order.customer, call.key);
    let reached = false;
    const giveUpMs = Math.min(
      order.deadlineMs,
      clock.monotonicMs() + HOLDER_PATIENCE_MS,
    );
    for (let copy = 0; ; copy++) {
      const attempt = await this.ask(book, {...order, copy});
      if (attempt.isOk && attempt.value.kind !== OutcomeKind.MOVED) {
        return attempt.value;
      }
      reached ||= attempt.isErr && attempt.error === 'sent';
      const limitMs = reached ? order.deadlineMs : giveUpMs;
      if (clock.monotonicMs() + RETRY_MS >= limitMs) {
        return this.giveUp(call, book, reached);
      }
      await clock.sleep(RETRY_MS);
    }
  }

  /**
   * Tells what came of a call.
   * @param customer - Customer that asks.
   * @param key - Idempotency-Key of the call.
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
        PEER_PATIENCE_MS,
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

  private async ask(
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
      Math.min(order.deadlineMs - nowMs, PEER_PATIENCE_MS),
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

  /** Says what is certain once no holder could be reached. */
  private async giveUp(
    call: OnceCall,
    book: string,
    reached: boolean,
  ): Promise<CallOutcome> {
    const recorded = await this.readOutcome(book, call.order.entryKey);
    if (recorded !== undefined) {
      return recorded;
    }
    if (reached || !call.firstAttempt) {
      return {
        kind: OutcomeKind.FAILED,
        problem: problems.outcomeUnknown(
          'the host that keeps the book of this key cannot be reached',
        ),
      };
    }
    // Nobody was reached and the key is new: no host has ever seen it.
    const offered = this.options.mintKey();
    return {
      kind: OutcomeKind.FAILED,
      problem: problems.storeUnavailable(Ran.NO, offered),
    };
  }

  /**
   * Reads a recorded outcome from the table, when its holder is out of reach.
   * An answer that stands there is final; anything else is not conclusive.
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
