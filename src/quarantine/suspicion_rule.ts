/** When a suspect is kept away from servers, and for how long. */
export interface SuspicionRule {
  /** Servers that have to end under a content, or contents of a sender that end some. */
  readonly ends: number;
  /**
   * Steps in which they have to end: what came after a first loss was known and was
   * lost again. What runs wherever servers fail together is answered the next time,
   * which clears it.
   */
  readonly levels: number;
  /** Time for which it is kept away after its last end, in milliseconds. */
  readonly holdMs: number;
  /** Longest such time, in milliseconds: it doubles with each further step. */
  readonly maxHoldMs: number;
}

const TEN_MINUTES_MS = 600_000;
/** Begins the names of suspects that are senders. */
const SENDER_PREFIX = 'sender:';

/**
 * One request, by its content: one that still ends servers costs a few every ten
 * minutes, and one that was suspected wrongly, or whose servers were mended, is served
 * again without an operator.
 */
const CONTENT_RULE: SuspicionRule = {
  ends: 3,
  levels: 2,
  holdMs: TEN_MINUTES_MS,
  maxHoldMs: TEN_MINUTES_MS,
};

/**
 * All that one customer sends on one route: its other requests are kept away, too, so
 * it is tried again soon at first, and ever more seldom while it ends servers.
 */
const SENDER_RULE: SuspicionRule = {
  ends: 3,
  levels: 2,
  holdMs: 3000,
  maxHoldMs: TEN_MINUTES_MS,
};

/** Names a sender as a suspect. */
export function nameSender(fingerprint: string): string {
  return SENDER_PREFIX + fingerprint;
}

/** Tells whether a suspect is a sender, and not one request. */
export function isSender(suspect: string): boolean {
  return suspect.startsWith(SENDER_PREFIX);
}

/** Returns the rule by which a suspect is judged. */
export function getSuspicionRule(suspect: string): SuspicionRule {
  return isSender(suspect) ? SENDER_RULE : CONTENT_RULE;
}
