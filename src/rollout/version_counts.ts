import {z} from 'zod';

const name = z.string().max(200);
const count = z.number().min(0);

/** What became of the requests that went to one version on one route, since a start. */
export const versionCountsSchema = z.object({
  version: name,
  route: name,
  /** Requests sent. */
  sent: count,
  /** Requests under way now. */
  running: z.number(),
  /** Answers that tell of the version, bad ones included. */
  answers: count,
  /** Failures, lost and spoiled answers. */
  bad: count,
  /** Sum of the times to the first byte of good answers, in milliseconds. */
  firstMs: count,
  /** Sum of the times to the end of good answers, in milliseconds. */
  wholeMs: count,
});

/** What became of the requests that went to one version on one route, since a start. */
export type VersionCounts = z.output<typeof versionCountsSchema>;

/** Makes counts of nothing. */
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

/** Sums counts of one version over hosts and routes. */
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
 * Returns what was counted since an earlier moment.
 * @param now - Counts by version and route.
 * @param before - The same, earlier.
 */
export function subtractVersionCounts(
  now: readonly VersionCounts[],
  before: readonly VersionCounts[],
): VersionCounts[] {
  return now.map(counts => {
    const left = {...counts};
    const earlier = before.find(
      ({version, route}) =>
        version === counts.version && route === counts.route,
    );
    if (earlier !== undefined) {
      addVersionCounts(left, {...earlier, running: 0}, -1);
    }
    return left;
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
