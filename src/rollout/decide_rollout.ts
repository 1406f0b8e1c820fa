import {judgeVersion} from './judge_version.js';
import {Rollout} from './rollout.js';
import {sumVersionCounts, VersionCounts} from './version_counts.js';

/** What a bad version may get at most, of all that its service gets. */
export interface ExposureBound {
  /** Share of the service's requests. */
  readonly share: number;
  /** Requests besides. */
  readonly slack: number;
}

/** What the next step of a roll-out depends on. */
export interface RolloutQuestion {
  readonly rollout: Rollout;
  /** The table's clock, in milliseconds. */
  readonly nowMs: number;
  /** By version and route, over all hosts, since the roll-out began. */
  readonly counts: readonly VersionCounts[];
  /** The same of the last seconds alone. */
  readonly recent: readonly VersionCounts[];
  /** Servers of each version that take work. */
  readonly readyFrom: number;
  readonly readyTo: number;
  readonly bound: ExposureBound;
}

/** What is to be done. */
export const RolloutAct = {
  GO_ON: 'go-on',
  /** Send every request to the new version, from now on. */
  SHIFT: 'shift',
  COMPLETE: 'complete',
  ROLL_BACK: 'roll-back',
} as const;
export type RolloutAct = (typeof RolloutAct)[keyof typeof RolloutAct];

/** The next step of a roll-out. */
export interface RolloutDecision {
  readonly act: RolloutAct;
  /** Share of the service's requests that go to the new version. */
  readonly share: number;
  readonly reason: string;
}

/** Part of the bound that is used while the version is on trial. */
const TRIAL_SHARE = 0.4;
/** Part of the bound at which the trial pauses: hosts' counts come late. */
const PAUSE_SHARE = 0.6;
/** Part of the duration that the trial takes: a version may turn bad late. */
const TRIAL_SPAN = 0.96;
/** Answers of the new version without which it cannot be told to be good. */
const LEAST_ANSWERS = 30;
/** The same on each route that has had this many times as many of the old one. */
const LEAST_ON_ROUTE = 5;
const ROUTE_FACTOR = 8;
/** Part of the old version's servers that the new one needs to carry the service. */
const CARRIES_SHARE = 0.8;
/** Time for which the new version has to carry it alone, in milliseconds. */
const ALONE_MS = 2000;

/**
 * Decides the next step of a roll-out.
 *
 * The new version gets a small share of the requests until nearly all of the time for
 * it is over: one that turns bad late has had no more than that. Then it gets all, and
 * the old servers, which stop at once on completion, finish what they run.
 */
export function decideRollout(question: RolloutQuestion): RolloutDecision {
  const {rollout, counts, recent, readyTo} = question;
  for (const judged of [counts, recent]) {
    const {isBad, reason} = judgeVersion(judged, rollout.from, rollout.to);
    if (isBad) {
      return {act: RolloutAct.ROLL_BACK, share: 0, reason};
    }
  }
  if (readyTo === 0) {
    const reason = 'no server of the new version takes work';
    return {act: RolloutAct.GO_ON, share: 0, reason};
  }
  return rollout.shiftedMs === undefined
    ? decideTrial(question)
    : decideEnd(question, rollout.shiftedMs);
}

function decideTrial(question: RolloutQuestion): RolloutDecision {
  const {rollout, nowMs, counts, bound} = question;
  const elapsedMs = nowMs - rollout.startedMs;
  const sentTo = sumVersionCounts(rollout.to, counts).sent;
  const sentFrom = sumVersionCounts(rollout.from, counts).sent;
  const most =
    PAUSE_SHARE * (bound.share * (sentTo + sentFrom) + bound.slack / 2);
  const reason = findReasonToWait(question, elapsedMs);
  if (reason === undefined) {
    return {act: RolloutAct.SHIFT, share: 1, reason: 'found good'};
  }
  if (sentTo >= most) {
    const spent = `${sentTo} of ${sentTo + sentFrom} requests were its share`;
    return {act: RolloutAct.GO_ON, share: 0, reason: spent};
  }
  return {act: RolloutAct.GO_ON, share: TRIAL_SHARE * bound.share, reason};
}

/** Says why the new version does not get all requests yet. */
function findReasonToWait(
  {rollout, counts, readyFrom, readyTo}: RolloutQuestion,
  elapsedMs: number,
): string | undefined {
  if (elapsedMs < rollout.durationMs * TRIAL_SPAN) {
    return 'on trial';
  }
  if (readyTo < readyFrom * CARRIES_SHARE) {
    return `${readyTo} servers beside ${readyFrom}`;
  }
  const {answers} = sumVersionCounts(rollout.to, counts);
  if (answers < LEAST_ANSWERS) {
    return `${answers} answers`;
  }
  for (const old of counts) {
    if (old.version !== rollout.from) {
      continue;
    }
    const own = counts.find(
      ({version, route}) => version === rollout.to && route === old.route,
    );
    const least = Math.min(LEAST_ON_ROUTE, old.answers / ROUTE_FACTOR);
    if ((own?.answers ?? 0) < least) {
      return `${own?.answers ?? 0} answers on route ${old.route}`;
    }
  }
  return undefined;
}

function decideEnd(
  {rollout, nowMs, counts, readyFrom, readyTo}: RolloutQuestion,
  shiftedMs: number,
): RolloutDecision {
  const {running} = sumVersionCounts(rollout.from, counts);
  if (readyTo < readyFrom * CARRIES_SHARE) {
    const reason = `${readyTo} servers beside ${readyFrom}`;
    return {act: RolloutAct.GO_ON, share: TRIAL_SHARE / 10, reason};
  }
  if (nowMs - shiftedMs < ALONE_MS || running > 0) {
    const reason = `${running} requests run at old servers`;
    return {act: RolloutAct.GO_ON, share: 1, reason};
  }
  return {act: RolloutAct.COMPLETE, share: 1, reason: 'carries the service'};
}
