import {RankedTokens, sumAhead} from './pending_prefill.js';

/** Work in flight at one server. */
export interface ServerLoad {
  readonly server: string;
  /** Requests in flight. */
  readonly running: number;
  /** Prompt tokens sent and not yet computed, by rank. */
  readonly prefill: readonly RankedTokens[];
}

/**
 * Work of one or several hosts at one server, as hosts report it to each other.
 */
export interface HostLoad extends ServerLoad {
  /** Age of the report, in milliseconds. */
  readonly ageMs: number;
}

/** Work of all peers at one server. */
export interface PeerWork {
  readonly running: number;
  /** Prompt tokens that the server computes before the request in question. */
  readonly prefillAhead: number;
}

/**
 * Prompt tokens an engine computes per millisecond: the rate of the engines
 * that the users run. Used to weigh cached tokens against queues, and to
 * estimate what a server has computed since a report.
 */
export const PREFILL_TOKENS_PER_MS = 100;

/**
 * Sums the work of all peers at one server.
 * @param loads - Work of each peer at the server.
 * @param urgency - Rank of the request in question.
 * @param tokensPerMs - Prompt tokens that the server computes per millisecond.
 */
export function sumPeerWork(
  loads: readonly HostLoad[],
  urgency: number,
  tokensPerMs = PREFILL_TOKENS_PER_MS,
): PeerWork {
  let running = 0;
  let prefillAhead = 0;
  for (const load of loads) {
    running += load.running;
    // The server has computed part of this since the report, the most urgent
    // first.
    const remaining =
      sumAhead(load.prefill, urgency) - load.ageMs * tokensPerMs;
    prefillAhead += Math.max(0, remaining);
  }
  return {running, prefillAhead};
}
