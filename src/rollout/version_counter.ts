import {createVersionCounts, VersionCounts} from './version_counts.js';

/** Outcome of a request as far as it is attributable to the version that ran it. */
export const VersionOutcome = {
  GOOD: 'good',
  BAD: 'bad',
  /** The caller disconnected, or the server had no capacity. */
  NEUTRAL: 'neutral',
} as const;
export type VersionOutcome =
  (typeof VersionOutcome)[keyof typeof VersionOutcome];

/** A request in flight at a server of some version; only the first `finish` counts. */
export interface VersionRun {
  /**
   * Records the outcome of the request.
   * @param end - The outcome.
   * @param firstMs - Time to the first byte of a good answer, in milliseconds.
   * @param wholeMs - Time to the end of a good answer, in milliseconds.
   */
  finish(end: VersionOutcome, firstMs?: number, wholeMs?: number): void;
}

/**
 * Counts the outcomes of requests by service, version and route on this host, since its
 * start or since a rollout began. Hosts report cumulative sums, so that a report that is
 * received twice counts once.
 */
export class VersionCounter {
  private readonly services = new Map<string, Map<string, VersionCounts>>();

  /** Records that a request is sent to a server. */
  begin(service: string, version: string, route: string): VersionRun {
    const counts = this.get(service, version, route);
    counts.sent++;
    counts.running++;
    let isOver = false;
    return {
      finish: (end, firstMs = 0, wholeMs = 0) => {
        if (isOver) {
          return;
        }
        isOver = true;
        counts.running--;
        addOutcome(counts, end, firstMs, wholeMs);
      },
    };
  }

  /** Resets the counts of a service when a rollout begins. */
  reset(service: string): void {
    this.services.delete(service);
  }

  /** Returns the counts of a service. */
  list(service: string): VersionCounts[] {
    return [...(this.services.get(service)?.values() ?? [])].map(counts => ({
      ...counts,
    }));
  }

  private get(service: string, version: string, route: string): VersionCounts {
    const countsByKey =
      this.services.get(service) ?? new Map<string, VersionCounts>();
    this.services.set(service, countsByKey);
    const key = `${version}\n${route}`;
    const counts = countsByKey.get(key) ?? createVersionCounts(version, route);
    countsByKey.set(key, counts);
    return counts;
  }
}

function addOutcome(
  counts: VersionCounts,
  end: VersionOutcome,
  firstMs: number,
  wholeMs: number,
): void {
  if (end === VersionOutcome.NEUTRAL) {
    return;
  }
  counts.answers++;
  if (end === VersionOutcome.BAD) {
    counts.bad++;
    return;
  }
  counts.firstMs += firstMs;
  counts.wholeMs += wholeMs;
}
