import {sumVersionCounts, VersionCounts} from './version_counts.js';

/** Verdict on a version by its answers. */
export interface VersionVerdict {
  readonly isBad: boolean;
  /** Why the version is bad, for the log; empty if it is not. */
  readonly reason: string;
}

const NOT_BAD: VersionVerdict = {isBad: false, reason: ''};
/** Bad answers below which a version is not judged bad by their number. */
const MIN_BAD_ANSWERS = 4;
/** Good answers, of either version, below which times are not compared. */
const MIN_TIMED_ANSWERS = 10;
/**
 * Standard deviations by which the bad answers of a version have to exceed those expected
 * from the other version. By chance, a good version exceeds this limit once in tens of
 * thousands of checks.
 */
const MIN_DEVIATIONS = 4;
/** Bad answers, and answers in all, added to those of the other version as a prior. */
const PRIOR_BAD_ANSWERS = 1;
const PRIOR_ANSWERS = 20;
/** Factor by which the mean time of its answers has to exceed that of the other version. */
const SLOW_FACTOR = 2;
/** Milliseconds by which the mean time has to exceed it in addition. */
const SLOW_MARGIN_MS = 15;

/**
 * Judges a version by comparing its answers with those of the previous version, in total
 * and by route. Faults that affect both, such as an overload or servers that fail at
 * random, count against neither.
 * @param counts - Counts by version and route, over all hosts.
 * @param from - Previous version.
 * @param to - Version to judge.
 */
export function judgeVersion(
  counts: readonly VersionCounts[],
  from: string,
  to: string,
): VersionVerdict {
  const whole = judgePair(
    sumVersionCounts(to, counts),
    sumVersionCounts(from, counts),
    'all routes',
  );
  if (whole.isBad) {
    return whole;
  }
  for (const judged of counts) {
    if (judged.version !== to) {
      continue;
    }
    const baseline = counts.find(
      ({version, route}) => version === from && route === judged.route,
    );
    const verdict = judgePair(judged, baseline, `route ${judged.route}`);
    if (verdict.isBad) {
      return verdict;
    }
  }
  return NOT_BAD;
}

function judgePair(
  judged: VersionCounts,
  baseline: VersionCounts | undefined,
  scope: string,
): VersionVerdict {
  const answers = baseline?.answers ?? 0;
  const bad = baseline?.bad ?? 0;
  const share = (bad + PRIOR_BAD_ANSWERS) / (answers + PRIOR_ANSWERS);
  const expected = judged.answers * share;
  const deviation = Math.sqrt(judged.answers * share * (1 - share));
  if (
    judged.bad >= MIN_BAD_ANSWERS &&
    judged.bad > expected + MIN_DEVIATIONS * Math.max(deviation, 0.5)
  ) {
    const reason = `${judged.bad} of ${judged.answers} bad on ${scope}, ${bad} of ${answers} of the old version`;
    return {isBad: true, reason};
  }
  return baseline === undefined ? NOT_BAD : judgeTimes(judged, baseline, scope);
}

function judgeTimes(
  judged: VersionCounts,
  baseline: VersionCounts,
  scope: string,
): VersionVerdict {
  const judgedGood = judged.answers - judged.bad;
  const baselineGood = baseline.answers - baseline.bad;
  if (judgedGood < MIN_TIMED_ANSWERS || baselineGood < MIN_TIMED_ANSWERS) {
    return NOT_BAD;
  }
  for (const time of ['firstMs', 'wholeMs'] as const) {
    const judgedMs = judged[time] / judgedGood;
    const baselineMs = baseline[time] / baselineGood;
    if (judgedMs > baselineMs * SLOW_FACTOR + SLOW_MARGIN_MS) {
      const reason = `${time} ${judgedMs.toFixed(0)} on ${scope}, ${baselineMs.toFixed(0)} for the old version`;
      return {isBad: true, reason};
    }
  }
  return NOT_BAD;
}
