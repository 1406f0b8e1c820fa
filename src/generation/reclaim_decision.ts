import {LossWeights} from '../configuration/index.js';

/** What to do with a generation on a server that is taken back. */
export const ReclaimAction = {
  /** Let it finish where it is. */
  FINISH: 'finish',
  /** Export its KV cache and go on elsewhere without recomputing. */
  EXPORT: 'export',
  /** Go on elsewhere, recomputing the prompt and the tokens so far. */
  RESUME: 'resume',
} as const;
export type ReclaimAction = (typeof ReclaimAction)[keyof typeof ReclaimAction];

/** A generation on a server that is taken back. */
export interface ReclaimCase {
  readonly id: string;
  /** Tokens of the prompt and of the answer so far. */
  readonly heldTokens: number;
  /** Tokens still expected. */
  readonly remainingTokens: number;
  /** Milliseconds between tokens on that server. */
  readonly decodeMs: number;
  readonly weights: LossWeights;
}

/** Conditions under which a server's generations are decided on. */
export interface ReclaimSituation {
  /** Notice left, in milliseconds. */
  readonly remainingMs: number;
  /** Tokens a second at which caches can be exported and imported. */
  readonly transferRate: number;
  /** Caches that the surviving servers can take in at once. */
  readonly importSlots: number;
  /** Whether another server can go on with the generations at all. */
  readonly hasSurvivor: boolean;
}

/** What was decided for one generation. */
export interface ReclaimDecision {
  readonly id: string;
  readonly action: ReclaimAction;
  /** Cost avoided per second of notice spent, in the deployment's unit. */
  readonly valuePerSecond: number;
  readonly reason: string;
}

/** Share of the notice that may be planned; the rest absorbs misjudgement. */
const USABLE_NOTICE = 0.8;

/**
 * Decides what becomes of each generation on a server that is taken back.
 *
 * What can finish in the notice finishes, at no cost. The rest is moved; the
 * notice is spent on exporting the caches that save the most per second of
 * it, as many as the survivors can take in, and what is left is recomputed.
 * @param cases - The generations.
 * @param situation - Conditions.
 * @returns Decisions, exports first in the order to carry them out.
 */
export function decideReclaim(
  cases: readonly ReclaimCase[],
  situation: ReclaimSituation,
): ReclaimDecision[] {
  const usableMs = situation.remainingMs * USABLE_NOTICE;
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
    const lane = Math.max(1, situation.importSlots);
    const fits = spentMs + transferMs / lane <= usableMs;
    if (fits && situation.importSlots > 0) {
      spentMs += transferMs / lane;
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
  return (item.heldTokens * 1000) / situation.transferRate;
}

/** Recomputed tokens avoided, weighed, per second of notice it takes. */
function getValue(item: ReclaimCase, situation: ReclaimSituation): number {
  const saved = item.heldTokens * item.weights.recomputedToken;
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
