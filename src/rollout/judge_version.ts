import {sumVersionCounts, VersionCounts} from './version_counts.js';

/** What the answers of a version say of it. */
export interface VersionVerdict {
  readonly isBad: boolean;
  /** What speaks against it, for the log; empty where nothing does. */
  readonly reason: string;
}

const INNOCENT: VersionVerdict = {isBad: false, reason: ''};
/** Bad answers below which nothing is said of a version. */
const LEAST_BAD = 4;
/** Good answers below which nothing is said of how long they take. */
const LEAST_TIMED = 10;
/**
 * Standard deviations by which bad answers have to exceed those of the version beside
 * it: chance makes that of a good one once in tens of thousands of looks.
 */
const DEVIATIONS = 4;
/** Bad answers assumed of the version beside it that it has not had yet. */
const PRIOR_BAD = 1;
const PRIOR_ANSWERS = 20;
/** How many times as long its answers have to take. */
const SLOW_FACTOR = 2;
/** Milliseconds that they have to take longer besides. */
const SLOW_MS = 15;

/**
 * Judges a version by its answers against those of the version beside it, in all and by
 * route: what troubles both, such as an overload or servers that fail at random, speaks
 * against neither.
 * @param counts - By version and route, over all hosts.
 * @param from - Version that served before.
 * @param to - Version that is judged.
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
  for (const own of counts) {
    if (own.version !== to) {
      continue;
    }
    const beside = counts.find(
      ({version, route}) => version === from && route === own.route,
    );
    const verdict = judgePair(own, beside, `route ${own.route}`);
    if (verdict.isBad) {
      return verdict;
    }
  }
  return INNOCENT;
}

function judgePair(
  own: VersionCounts,
  beside: VersionCounts | undefined,
  where: string,
): VersionVerdict {
  const answers = beside?.answers ?? 0;
  const bad = beside?.bad ?? 0;
  const share = (bad + PRIOR_BAD) / (answers + PRIOR_ANSWERS);
  const expected = own.answers * share;
  const deviation = Math.sqrt(own.answers * share * (1 - share));
  if (
    own.bad >= LEAST_BAD &&
    own.bad > expected + DEVIATIONS * Math.max(deviation, 0.5)
  ) {
    const reason = `${own.bad} of ${own.answers} bad on ${where}, ${bad} of ${answers} beside`;
    return {isBad: true, reason};
  }
  return beside === undefined ? INNOCENT : judgeTimes(own, beside, where);
}

function judgeTimes(
  own: VersionCounts,
  beside: VersionCounts,
  where: string,
): VersionVerdict {
  const ownGood = own.answers - own.bad;
  const besideGood = beside.answers - beside.bad;
  if (ownGood < LEAST_TIMED || besideGood < LEAST_TIMED) {
    return INNOCENT;
  }
  for (const time of ['firstMs', 'wholeMs'] as const) {
    const ownMs = own[time] / ownGood;
    const besideMs = beside[time] / besideGood;
    if (ownMs > besideMs * SLOW_FACTOR + SLOW_MS) {
      const reason = `${time} ${ownMs.toFixed(0)} on ${where}, ${besideMs.toFixed(0)} beside`;
      return {isBad: true, reason};
    }
  }
  return INNOCENT;
}
