import {judgeVersion} from './judge_version.js';
import {Rollout} from './rollout.js';
import {sumVersionCounts, VersionCounts} from './version_counts.js';

/** Upper bound of the requests that a bad version may receive. */
export interface ExposureBound {
  /** Fraction of the requests of its service. */
  readonly share: number;
  /** Number of requests in addition to that fraction. */
  readonly slack: number;
}

/** Input of the decision about the next action of a rollout. */
export interface RolloutDecisionInput {
  readonly rollout: Rollout;
  /** Current time on the table's clock, in milliseconds. */
  readonly nowMs: number;
  /** Counts by version and route, over all hosts, since the rollout began. */
  readonly counts: readonly VersionCounts[];
  /** The same counts for the last seconds only. */
  readonly recent: readonly VersionCounts[];
  /** Number of servers of the old version (`rollout.from`) that accept work. */
  readonly readyOldServers: number;
  /** Number of servers of the new version (`rollout.to`) that accept work. */
  readonly readyNewServers: number;
  readonly bound: ExposureBound;
}

/** Action of a rollout. */
export const RolloutAction = {
  /** Keep the rollout running with the share of the decision; 0 pauses the trial. */
  CONTINUE: 'go-on',
  /** End the trial: send every request to the new version from now on. */
  SHIFT: 'shift',
  COMPLETE: 'complete',
  ROLL_BACK: 'roll-back',
} as const;
export type RolloutAction = (typeof RolloutAction)[keyof typeof RolloutAction];

/** The next action of a rollout. */
export interface RolloutDecision {
  readonly act: RolloutAction;
  /** Fraction of the requests of the service that go to the new version. */
  readonly share: number;
  readonly reason: string;
}

/** Fraction of the bound's share that the new version gets during the trial. */
const TRIAL_FRACTION = 0.4;
/**
 * Fraction of the bound at which the trial pauses, as counts of hosts arrive with a
 * delay. It applies to the whole share but to only half of the slack of the bound, so the
 * trial pauses at 0.6 of the share plus 0.3 of the slack.
 */
const PAUSE_FRACTION = 0.6;
/** Fraction of the rollout's duration that the trial takes, as a version may turn bad late. */
const TRIAL_DURATION_FRACTION = 0.96;
/** Answers of the new version that are needed before it counts as good. */
const MIN_ANSWERS = 30;
/**
 * Answers of the new version that are needed on each route on which the old version has
 * answered. If the old version has fewer than `ROUTE_FACTOR` times this number on a route,
 * the new one needs only one answer per `ROUTE_FACTOR` of them.
 */
const MIN_ANSWERS_ON_ROUTE = 5;
const ROUTE_FACTOR = 8;
/**
 * Servers that the new version needs to serve all requests, as a fraction of the number of
 * servers of the old version.
 */
const MIN_CAPACITY_FRACTION = 0.8;
/** Time for which all requests go to the new version before completion, in milliseconds. */
const SOLE_SERVICE_MS = 2000;

/**
 * Decides the next action of a rollout.
 *
 * The new version gets a small share of the requests for nearly the whole duration, so
 * that a version that turns bad late has received only that share. Then it gets all
 * requests, and the old servers finish those that they run. The rollout completes only
 * after that, since the old servers stop at once on completion.
 */
export function decideRollout(input: RolloutDecisionInput): RolloutDecision {
  const {rollout, counts, recent, readyNewServers} = input;
  for (const judgedCounts of [counts, recent]) {
    const {isBad, reason} = judgeVersion(
      judgedCounts,
      rollout.from,
      rollout.to,
    );
    if (isBad) {
      return {act: RolloutAction.ROLL_BACK, share: 0, reason};
    }
  }
  if (readyNewServers === 0) {
    const reason = 'no server of the new version accepts work';
    return {act: RolloutAction.CONTINUE, share: 0, reason};
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
    PAUSE_FRACTION * (bound.share * (sentTo + sentFrom) + bound.slack / 2);
  const reason = findReasonToWait(input, elapsedMs);
  if (reason === undefined) {
    return {act: RolloutAction.SHIFT, share: 1, reason: 'trial passed'};
  }
  if (sentTo >= maxSentTo) {
    const pauseReason = `${sentTo} of ${sentTo + sentFrom} requests sent to the new version: trial paused near its bound`;
    return {act: RolloutAction.CONTINUE, share: 0, reason: pauseReason};
  }
  return {
    act: RolloutAction.CONTINUE,
    share: TRIAL_FRACTION * bound.share,
    reason,
  };
}

/** Returns why the new version does not get all requests yet; `undefined` if it may. */
function findReasonToWait(
  {rollout, counts, readyOldServers, readyNewServers}: RolloutDecisionInput,
  elapsedMs: number,
): string | undefined {
  if (elapsedMs < rollout.durationMs * TRIAL_DURATION_FRACTION) {
    return 'on trial';
  }
  if (readyNewServers < readyOldServers * MIN_CAPACITY_FRACTION) {
    return `servers that accept work: ${readyNewServers} of the new version, ${readyOldServers} of the old version`;
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
  {
    rollout,
    nowMs,
    counts,
    readyOldServers,
    readyNewServers,
  }: RolloutDecisionInput,
  shiftedMs: number,
): RolloutDecision {
  const {running} = sumVersionCounts(rollout.from, counts);
  if (readyNewServers < readyOldServers * MIN_CAPACITY_FRACTION) {
    const reason = `servers that accept work: ${readyNewServers} of the new version, ${readyOldServers} of the old version`;
    // Equals the share during the trial if the bound's share is 0.1.
    return {act: RolloutAction.CONTINUE, share: TRIAL_FRACTION / 10, reason};
  }
  if (nowMs - shiftedMs < SOLE_SERVICE_MS || running > 0) {
    const reason = `all requests go to the new version, ${running} requests still running on the old version`;
    return {act: RolloutAction.CONTINUE, share: 1, reason};
  }
  return {
    act: RolloutAction.COMPLETE,
    share: 1,
    reason: 'new version serves all requests',
  };
}
