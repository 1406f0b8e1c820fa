/** State of the call under one key, as its book records it. */
export const EntryState = {
  /** Recorded, and may be dispatched from now on, once. */
  DISPATCHED: 'dispatched',
  /** Recorded for a caller that asked for a later answer; not yet dispatched. */
  ACCEPTED: 'accepted',
  /** Answered; the answer is stored. */
  FINISHED: 'finished',
  /** Abandoned before it was dispatched; a repeated request starts anew. */
  REFUSED: 'refused',
  /** May have run; its answer is lost, and it is never dispatched again. */
  UNKNOWN: 'unknown',
} as const;
export type EntryState = (typeof EntryState)[keyof typeof EntryState];

/** An answer as a book stores it. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64 of the body; absent when it was too large to store. */
  readonly bodyBase64?: string;
}

/** A call as a book stores it until it is dispatched. */
export interface RecordedCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** Record of one key in a book. */
export interface Entry {
  /** Customer and Idempotency-Key; see `getEntryKey`. */
  readonly key: string;
  readonly requestId: string;
  readonly deployment: string;
  /**
   * Identifies the dispatch that this state refers to; empty before the first.
   * The outcome of one dispatch must never be attributed to a later one.
   */
  readonly attempt: string;
  /**
   * Earlier dispatches under this key that are known to have reached no backend
   * server; what another host has recorded about them is out of date.
   */
  readonly ended?: readonly string[];
  /** Hash of method, path and body: a key identifies one request only. */
  readonly fingerprint: string;
  readonly state: EntryState;
  /** Wall-clock time of this state, in Unix milliseconds. */
  readonly atMs: number;
  readonly answer?: RecordedAnswer;
  /** Present while the state is `accepted`. */
  readonly call?: RecordedCall;
}

/**
 * Joins a customer and its key, so that keys of different customers never collide.
 * @param customer - Name of the customer.
 * @param key - Idempotency-Key of the request.
 */
export function getEntryKey(customer: string, key: string): string {
  return `${customer}/${key}`;
}

/** Ended dispatches that an entry lists; no host can still know of older ones. */
const MAX_ENDED_ATTEMPTS = 8;

/**
 * Sets the dispatch of an entry; the previous one is listed as ended.
 * @param entry - The entry.
 * @param attempt - The new dispatch.
 */
export function withAttempt(entry: Entry, attempt: string): Entry {
  return {...withEndedAttempts(entry, [entry.attempt]), attempt};
}

/** Adds dispatches to those that an entry lists as ended. */
export function withEndedAttempts(entry: Entry, attempts: readonly string[]): Entry {
  const ended = new Set([...(entry.ended ?? []), ...attempts]);
  ended.delete('');
  return {...entry, ended: [...ended].slice(-MAX_ENDED_ATTEMPTS)};
}
