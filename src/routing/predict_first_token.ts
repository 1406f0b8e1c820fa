import {ServerKnowledge} from './server_knowledge.js';

/** Load assumed for a server without a load report. */
const DEFAULT_LOAD = {
  running: 0,
  waiting: 0,
  capacity: 8,
  prefillRate: 4000,
  decodeMs: 30,
};

/** Predicted parts of the time to the first token, in milliseconds. */
export interface FirstTokenPrediction {
  readonly queueMs: number;
  /**
   * Time that does not depend on the prompts and the queue; 0 unless the servers' times
   * are learned.
   */
  readonly fixedMs: number;
  /** Part of `queueMs` for observed lateness. */
  readonly lateMs: number;
  /** Part of `queueMs` for waiting for a slot. */
  readonly slotWaitMs: number;
  /** Prefill time of the prompts ahead and of this one. */
  readonly prefillMs: number;
  /** Part of `prefillMs` for the prompt of this request. */
  readonly ownPrefillMs: number;
  /**
   * Time until the prefill of this request starts, without recently observed
   * delays.
   */
  readonly waitMs: number;
}

/**
 * Predicts the time to the first token on a server.
 *
 * The published load is delayed. It is corrected by the requests this host has
 * sent since, which it knows exactly, and by the excess delay observed on
 * recent answers. Where the servers' times are learned, these and the observed
 * lateness replace the assumed rate and the excess delay.
 * @param known - What is known about the server.
 * @param promptTokens - Tokens of the prompt.
 * @param expectedTokens - Mean tokens of an answer, which determine how soon a
 *   slot becomes free.
 */
export function predictFirstToken(
  known: ServerKnowledge,
  promptTokens: number,
  expectedTokens: number,
): FirstTokenPrediction {
  const load = known.load ?? DEFAULT_LOAD;
  const capacity = Math.max(1, load.capacity);
  const requestsAtServer = Math.max(
    load.running + load.waiting + known.sentSinceReport,
    known.inFlight,
  );
  const requestsAhead = Math.max(0, requestsAtServer + 1 - capacity);
  const occupancyMs = expectedTokens * load.decodeMs;
  const slotWaitMs = (requestsAhead * occupancyMs) / capacity;
  const {learned} = known;
  const uncached = Math.max(0, promptTokens - known.cachedTokens);
  const assumedTokenMs = 1000 / load.prefillRate;
  const ownPrefillMs = uncached * (learned?.ownTokenMs ?? assumedTokenMs);
  const pendingMs =
    known.pendingPrefillTokens * (learned?.aheadTokenMs ?? assumedTokenMs);
  const fixedMs = learned?.fixedMs ?? 0;
  const prefillMs = pendingMs + ownPrefillMs;
  const lateMs =
    learned === undefined
      ? known.excessMs
      : Math.max(learned.waitingMs, learned.lateShare * (fixedMs + prefillMs));
  return {
    queueMs: slotWaitMs + lateMs,
    lateMs,
    slotWaitMs,
    fixedMs,
    prefillMs,
    ownPrefillMs,
    waitMs: slotWaitMs + pendingMs,
  };
}
