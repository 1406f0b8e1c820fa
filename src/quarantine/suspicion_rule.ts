import {fingerprintText} from './fingerprint_request.js';

/** When a suspect is blocked, and for how long. */
export interface SuspicionRule {
  /** Minimum number of terminated servers (for a sender: of contents that terminated one). */
  readonly ends: number;
  /**
   * Minimum number of steps in which the servers terminated. A further step means that
   * the suspect was run again after the earlier loss was known, and was lost again. A
   * request that merely ran where several servers failed together is answered the next
   * time, which clears it.
   */
  readonly levels: number;
  /** Time for which it is blocked after its last termination, in milliseconds. */
  readonly holdMs: number;
  /** Maximum of that time, which doubles with each further step, in milliseconds. */
  readonly maxHoldMs: number;
}

const TEN_MINUTES_MS = 600_000;
/** Prefix of the names of suspects that are senders. */
const SENDER_PREFIX = 'sender:';

/**
 * Rule for one request, identified by its content, and for a part of prompts. Neither is
 * probed: each probe would terminate a server. One that still terminates servers costs a
 * few of them every ten minutes. One that was suspected wrongly, or whose servers were
 * repaired, is served again without an operator.
 */
const CONTENT_RULE: SuspicionRule = {
  ends: 3,
  levels: 2,
  holdMs: TEN_MINUTES_MS,
  maxHoldMs: TEN_MINUTES_MS,
};

/**
 * Rule for all requests of one customer on one route. Its harmless requests are blocked,
 * too, so it is retried soon at first, and less and less often while it terminates
 * servers.
 */
const SENDER_RULE: SuspicionRule = {
  ends: 3,
  levels: 2,
  holdMs: 3000,
  maxHoldMs: TEN_MINUTES_MS,
};

/** Prefix of the names of suspects that are parts of prompts. */
const PART_PREFIX = 'part:';
/** Longest name of a part that is not shortened; it is a part of the key of a row. */
const MAX_PART_LENGTH = 80;

/**
 * Returns the name of a part of a prompt as a suspect.
 * @param service - Service that reads it.
 * @param id - Id of the part, the same at all customers.
 */
export function namePart(service: string, id: string): string {
  const name = `${service}:${id}`;
  return (
    PART_PREFIX + (name.length > MAX_PART_LENGTH ? fingerprintText(name) : name)
  );
}

/** Returns whether a suspect is a part of a prompt. */
export function isPart(suspect: string): boolean {
  return suspect.startsWith(PART_PREFIX);
}

/** Returns the name of a sender as a suspect. */
export function nameSender(fingerprint: string): string {
  return SENDER_PREFIX + fingerprint;
}

/** Returns whether a suspect is a sender rather than a single request. */
export function isSender(suspect: string): boolean {
  return suspect.startsWith(SENDER_PREFIX);
}

/** Returns the rule by which a suspect is judged. */
export function getSuspicionRule(suspect: string): SuspicionRule {
  return isSender(suspect) ? SENDER_RULE : CONTENT_RULE;
}
