/** How far a call under one key has got, as its book records it. */
export const EntryState = {
  /** Recorded, and may be dispatched from now on, once. */
  DISPATCHED: 'dispatched',
  /** Recorded on the caller's wish to be answered later; not yet dispatched. */
  ACCEPTED: 'accepted',
  /** Answered; the answer is kept. */
  FINISHED: 'finished',
  /** Given up before it was dispatched; a repeated request starts again. */
  REFUSED: 'refused',
  /** May have run; the answer is lost, and it is never run again. */
  UNKNOWN: 'unknown',
} as const;
export type EntryState = (typeof EntryState)[keyof typeof EntryState];

/** An answer as a book keeps it. */
export interface RecordedAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64 of the body; absent when it was too large to keep. */
  readonly bodyBase64?: string;
}

/** A call as a book keeps it until it is dispatched. */
export interface RecordedCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly bodyBase64: string;
}

/** What a book records of one key. */
export interface Entry {
  /** Customer and Idempotency-Key; see `getEntryKey`. */
  readonly key: string;
  readonly requestId: string;
  readonly deployment: string;
  /**
   * Identifies the dispatch that this state is about; empty before the first.
   * Word of one dispatch must never be taken for word of a later one.
   */
  readonly attempt: string;
  /**
   * Earlier dispatches under this key that certainly reached no back end; what
   * another host knows of them is out of date.
   */
  readonly ended?: readonly string[];
  /** Hash of method, path and body: a key stands for one request only. */
  readonly fingerprint: string;
  readonly state: EntryState;
  /** Wall-clock time of this state, in Unix milliseconds. */
  readonly atMs: number;
  readonly answer?: RecordedAnswer;
  /** Present while the state is `accepted`. */
  readonly call?: RecordedCall;
}

/**
 * Joins a customer and its key; customers cannot meet each other's keys.
 * @param customer - Name of the customer.
 * @param key - Idempotency-Key of the request.
 */
export function getEntryKey(customer: string, key: string): string {
  return `${customer}/${key}`;
}

/** Ended dispatches that an entry names; older ones no host can still know. */
const MAX_ENDED = 8;

/**
 * Moves an entry on to another dispatch; the one before is named as ended.
 * @param entry - The entry.
 * @param attempt - The other dispatch.
 */
export function withAttempt(entry: Entry, attempt: string): Entry {
  return {...withEnded(entry, [entry.attempt]), attempt};
}

/** Names further dispatches of an entry as ended. */
export function withEnded(entry: Entry, attempts: readonly string[]): Entry {
  const ended = new Set([...(entry.ended ?? []), ...attempts]);
  ended.delete('');
  return {...entry, ended: [...ended].slice(-MAX_ENDED)};
}
