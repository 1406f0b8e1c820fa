import {RankedTokens, sumAhead} from './pending_prefill.js';

/** Work at one server. */
export interface ServerLoad {
  readonly server: string;
  /** Requests in flight. */
  readonly running: number;
  /** Prompt tokens sent and not yet computed, by rank. */
  readonly prefill: readonly RankedTokens[];
}

/** Work of one host, or of several, at one server, as hosts tell each other. */
export interface HostLoad extends ServerLoad {
  /** Time since it was so, in milliseconds. */
  readonly ageMs: number;
}

/** Work of all peers at one server. */
export interface PeerWork {
  readonly running: number;
  /** Prompt tokens that it computes before a request. */
  readonly ahead: number;
}

/**
 * Prompt tokens an engine computes per millisecond: what current engines of
 * the sheets do; it weighs cached tokens against queues.
 */
export const PREFILL_TOKENS_PER_MS = 100;
/**
 * Sums the work of all peers at one server.
 * @param loads - What each has there.
 * @param urgency - Rank of the request that asks.
 */
export function sumPeerWork(
  loads: readonly HostLoad[],
  urgency: number,
): PeerWork {
  let running = 0;
  let ahead = 0;
  for (const load of loads) {
    running += load.running;
    // What a peer told has been worked on since, the most urgent first.
    const left =
      sumAhead(load.prefill, urgency) - load.ageMs * PREFILL_TOKENS_PER_MS;
    ahead += Math.max(0, left);
  }
  return {running, ahead};
}
