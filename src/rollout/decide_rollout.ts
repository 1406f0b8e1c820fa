import {judgeVersion} from './judge_version.js';
import {Rollout} from './rollout.js';
import {sumVersionCounts, VersionCounts} from './version_counts.js';

/** Upper bound of the requests that a bad version may receive. */
export interface ExposureBound {
  /** Share of the requests of its service. */
  readonly share: number;
  /** Number of requests in addition to the share. */
  readonly slack: number;
}

/** Input of the decision about the next step of a rollout. */
export interface RolloutDecisionInput {
  readonly rollout: Rollout;
  /** Current time on the table's clock, in milliseconds. */
  readonly nowMs: number;
  /** Counts by version and route, over all hosts, since the rollout began. */
  readonly counts: readonly VersionCounts[];
  /** The same counts for the last seconds only. */
  readonly recent: readonly VersionCounts[];
  /** Numbers of servers that accept work, of the previous and of the new version. */
  readonly readyFrom: number;
  readonly readyTo: number;
  readonly bound: ExposureBound;
}

/** Action of a rollout step. */
export const RolloutAct = {
  CONTINUE: 'go-on',
  /** Send every request to the new version from now on. */
  SHIFT: 'shift',
  COMPLETE: 'complete',
  ROLL_BACK: 'roll-back',
} as const;
export type RolloutAct = (typeof RolloutAct)[keyof typeof RolloutAct];

/** The next step of a rollout. */
export interface RolloutDecision {
  readonly act: RolloutAct;
  /** Share of the requests of the service that go to the new version. */
  readonly share: number;
  readonly reason: string;
}

/** Part of the bound's share that the new version gets during the trial. */
const TRIAL_SHARE = 0.4;
/** Part of the bound at which the trial pauses, as counts of hosts arrive with a delay. */
const PAUSE_SHARE = 0.6;
/** Part of the duration that the trial takes, as a version may turn bad late. */
const TRIAL_DURATION_SHARE = 0.96;
/** Answers of the new version that are needed before it counts as good. */
const MIN_ANSWERS = 30;
/**
 * Answers of the new version that are needed on each route; fewer where the old version
 * has had less than `ROUTE_FACTOR` times as many there.
 */
const MIN_ANSWERS_ON_ROUTE = 5;
const ROUTE_FACTOR = 8;
/** Servers that the new version needs to carry the service, as a share of the old's. */
const MIN_CAPACITY_SHARE = 0.8;
/** Time for which the new version has to carry the service alone, in milliseconds. */
const SOLE_SERVICE_MS = 2000;

/**
 * Decides the next step of a rollout.
 *
 * The new version gets a small share of the requests for nearly the whole duration, so
 * that a version that turns bad late has not received more. Then it gets all requests,
 * while the old servers, which stop at once on completion, finish what they run.
 */
export function decideRollout(input: RolloutDecisionInput): RolloutDecision {
  const {rollout, counts, recent, readyTo} = input;
  for (const judgedCounts of [counts, recent]) {
    const {isBad, reason} = judgeVersion(
      judgedCounts,
      rollout.from,
      rollout.to,
    );
    if (isBad) {
      return {act: RolloutAct.ROLL_BACK, share: 0, reason};
    }
  }
  if (readyTo === 0) {
    const reason = 'no server of the new version accepts work';
    return {act: RolloutAct.CONTINUE, share: 0, reason};
  }
  return rollout.shiftedMs === undefined
    ? decideTrial(input)
    : decideCompletion(input, rollout.shiftedMs);
}

function decideTrial(input: RolloutDecisionInput): RolloutDecision {
  const {rollout, nowMs, counts, bound} = input;
  const elapsedMs = nowMs - rollout.startedMs;
  const sentTo = sumVersionCounts(rollout.to, counts).sent;
  const sentFrom = sumVersionCounts(rollout.from, counts).sent;
  const maxSentTo =
    PAUSE_SHARE * (bound.share * (sentTo + sentFrom) + bound.slack / 2);
  const reason = findReasonToWait(input, elapsedMs);
  if (reason === undefined) {
    return {act: RolloutAct.SHIFT, share: 1, reason: 'trial passed'};
  }
  if (sentTo >= maxSentTo) {
    const pauseReason = `${sentTo} of ${sentTo + sentFrom} requests sent to the new version: share used up`;
    return {act: RolloutAct.CONTINUE, share: 0, reason: pauseReason};
  }
  return {act: RolloutAct.CONTINUE, share: TRIAL_SHARE * bound.share, reason};
}

/** Returns why the new version does not get all requests yet; `undefined` if it may. */
function findReasonToWait(
  {rollout, counts, readyFrom, readyTo}: RolloutDecisionInput,
  elapsedMs: number,
): string | undefined {
  if (elapsedMs < rollout.durationMs * TRIAL_DURATION_SHARE) {
    return 'on trial';
  }
  if (readyTo < readyFrom * MIN_CAPACITY_SHARE) {
    return `${readyTo} servers accept work, ${readyFrom} of the old version`;
  }
  const {answers} = sumVersionCounts(rollout.to, counts);
  if (answers < MIN_ANSWERS) {
    return `only ${answers} answers of the new version`;
  }
  for (const oldCounts of counts) {
    if (oldCounts.version !== rollout.from) {
      continue;
    }
    const newCounts = counts.find(
      ({version, route}) => version === rollout.to && route === oldCounts.route,
    );
    const minAnswers = Math.min(
      MIN_ANSWERS_ON_ROUTE,
      oldCounts.answers / ROUTE_FACTOR,
    );
    if ((newCounts?.answers ?? 0) < minAnswers) {
      return `only ${newCounts?.answers ?? 0} answers of the new version on route ${oldCounts.route}`;
    }
  }
  return undefined;
}

function decideCompletion(
  {rollout, nowMs, counts, readyFrom, readyTo}: RolloutDecisionInput,
  shiftedMs: number,
): RolloutDecision {
  const {running} = sumVersionCounts(rollout.from, counts);
  if (readyTo < readyFrom * MIN_CAPACITY_SHARE) {
    const reason = `${readyTo} servers accept work, ${readyFrom} of the old version`;
    return {act: RolloutAct.CONTINUE, share: TRIAL_SHARE / 10, reason};
  }
  if (nowMs - shiftedMs < SOLE_SERVICE_MS || running > 0) {
    const reason = `${running} requests running on servers of the old version`;
    return {act: RolloutAct.CONTINUE, share: 1, reason};
  }
  return {
    act: RolloutAct.COMPLETE,
    share: 1,
    reason: 'new version carries the service',
  };
}
