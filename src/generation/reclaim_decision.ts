import {LossWeights} from '../configuration/index.js';

/** What to do with a generation on a server that is being reclaimed. */
export const ReclaimAction = {
  /** Let it finish on this server. */
  FINISH: 'finish',
  /** Export its KV cache and continue on another server without recomputing. */
  EXPORT: 'export',
  /** Continue on another server, recomputing the prompt and the tokens so far. */
  RESUME: 'resume',
} as const;
export type ReclaimAction = (typeof ReclaimAction)[keyof typeof ReclaimAction];

/** A generation on a server that is being reclaimed. */
export interface ReclaimCase {
  readonly id: string;
  /** Tokens of the prompt and of the answer so far. */
  readonly contextTokens: number;
  /** Number of tokens still expected. */
  readonly remainingTokens: number;
  /** Milliseconds between tokens on that server. */
  readonly decodeMs: number;
  readonly weights: LossWeights;
}

/** Conditions for the decisions about the generations of one server. */
export interface ReclaimSituation {
  /** Time until the server is reclaimed, in milliseconds. */
  readonly remainingMs: number;
  /** Tokens per second at which a cache can be exported and imported. */
  readonly transferRate: number;
  /** Number of caches that the surviving servers can import at the same time. */
  readonly importSlots: number;
  /** Whether any other server can continue the generations. */
  readonly hasSurvivor: boolean;
}

/** Decision for one generation. */
export interface ReclaimDecision {
  readonly id: string;
  readonly action: ReclaimAction;
  /** Cost avoided per second of notice spent, in the deployment's unit. */
  readonly valuePerSecond: number;
  readonly reason: string;
}

/** Share of the notice that is planned for; the rest absorbs estimation errors. */
const USABLE_NOTICE_SHARE = 0.8;

/**
 * Decides what to do with each generation on a server that is being reclaimed.
 *
 * Generations that can finish within the notice do so, at no cost. The others are
 * moved. The notice is used to export the caches that save the most per second, as
 * many as the surviving servers can import; the remaining ones are recomputed.
 * @param cases - The generations.
 * @param situation - Conditions.
 * @returns Decisions, with the exports first, in the order in which to run them.
 */
export function decideReclaim(
  cases: readonly ReclaimCase[],
  situation: ReclaimSituation,
): ReclaimDecision[] {
  const usableMs = situation.remainingMs * USABLE_NOTICE_SHARE;
  const decisions: ReclaimDecision[] = [];
  const moving: ReclaimCase[] = [];
  for (const item of cases) {
    const finishMs = item.remainingTokens * item.decodeMs;
    if (finishMs <= usableMs || !situation.hasSurvivor) {
      const reason = situation.hasSurvivor ? 'fits-notice' : 'no-survivor';
      decisions.push(decide(item, ReclaimAction.FINISH, 0, reason));
    } else {
      moving.push(item);
    }
  }
  moving.sort((a, b) => getValue(b, situation) - getValue(a, situation));
  let spentMs = 0;
  const exported: ReclaimDecision[] = [];
  for (const item of moving) {
    const value = getValue(item, situation);
    const transferMs = getTransferMs(item, situation);
    const parallelImports = Math.max(1, situation.importSlots);
    const fits = spentMs + transferMs / parallelImports <= usableMs;
    if (fits && situation.importSlots > 0) {
      spentMs += transferMs / parallelImports;
      exported.push(decide(item, ReclaimAction.EXPORT, value, 'saves-most'));
    } else {
      decisions.push(
        decide(item, ReclaimAction.RESUME, value, 'no-notice-left'),
      );
    }
  }
  return [...exported, ...decisions];
}

function getTransferMs(item: ReclaimCase, situation: ReclaimSituation): number {
  return (item.contextTokens * 1000) / situation.transferRate;
}

/** Returns the weighted recomputation avoided per second of notice used. */
function getValue(item: ReclaimCase, situation: ReclaimSituation): number {
  const saved = item.contextTokens * item.weights.recomputedToken;
  return (saved * 1000) / Math.max(1, getTransferMs(item, situation));
}

function decide(
  item: ReclaimCase,
  action: ReclaimAction,
  valuePerSecond: number,
  reason: string,
): ReclaimDecision {
  return {id: item.id, action, valuePerSecond, reason};
}
