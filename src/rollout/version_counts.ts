import {z} from 'zod';

const name = z.string().max(200);
const count = z.number().min(0);

/** Counts of the requests sent to one version on one route, since a start time. */
export const versionCountsSchema = z.object({
  version: name,
  route: name,
  /** Requests sent. */
  sent: count,
  /** Requests in flight now. */
  running: z.number(),
  /** Outcomes that are attributable to the version, including bad ones. */
  answers: count,
  /** Failures, lost and corrupted answers. */
  bad: count,
  /** Sum of the times to the first byte of good answers, in milliseconds. */
  firstMs: count,
  /** Sum of the times to the end of good answers, in milliseconds. */
  wholeMs: count,
});

/** Counts of the requests sent to one version on one route, since a start time. */
export type VersionCounts = z.output<typeof versionCountsSchema>;

/** Creates counts of zero. */
export function createVersionCounts(
  version: string,
  route: string,
): VersionCounts {
  return {
    version,
    route,
    sent: 0,
    running: 0,
    answers: 0,
    bad: 0,
    firstMs: 0,
    wholeMs: 0,
  };
}

/** Sums the counts of one version over hosts and routes. */
export function sumVersionCounts(
  version: string,
  listed: readonly VersionCounts[],
): VersionCounts {
  const sum = createVersionCounts(version, '');
  for (const counts of listed) {
    if (counts.version === version) {
      addVersionCounts(sum, counts, 1);
    }
  }
  return sum;
}

/**
 * Sums counts by version and route.
 * @param listed - Counts of several hosts.
 */
export function mergeVersionCounts(
  listed: readonly VersionCounts[],
): VersionCounts[] {
  const merged = new Map<string, VersionCounts>();
  for (const counts of listed) {
    const {version, route} = counts;
    const key = `${version}\n${route}`;
    const sum = merged.get(key) ?? createVersionCounts(version, route);
    merged.set(key, sum);
    addVersionCounts(sum, counts, 1);
  }
  return [...merged.values()];
}

/**
 * Returns the counts since an earlier time; `running` stays the current number.
 * @param now - Counts by version and route.
 * @param before - The same counts at the earlier time.
 */
export function subtractVersionCounts(
  now: readonly VersionCounts[],
  before: readonly VersionCounts[],
): VersionCounts[] {
  return now.map(counts => {
    const difference = {...counts};
    const earlier = before.find(
      ({version, route}) =>
        version === counts.version && route === counts.route,
    );
    if (earlier !== undefined) {
      addVersionCounts(difference, {...earlier, running: 0}, -1);
    }
    return difference;
  });
}

function addVersionCounts(
  sum: VersionCounts,
  counts: VersionCounts,
  factor: 1 | -1,
): void {
  sum.sent += factor * counts.sent;
  sum.running += factor * counts.running;
  sum.answers += factor * counts.answers;
  sum.bad += factor * counts.bad;
  sum.firstMs += factor * counts.firstMs;
  sum.wholeMs += factor * counts.wholeMs;
}
