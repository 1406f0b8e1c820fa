import {createVersionCounts, VersionCounts} from './version_counts.js';

/** What became of a request, as far as it tells of the version that ran it. */
export const VersionEnd = {
  GOOD: 'good',
  BAD: 'bad',
  /** The caller left, or the server had no room. */
  NEUTRAL: 'neutral',
} as const;
export type VersionEnd = (typeof VersionEnd)[keyof typeof VersionEnd];

/** A request under way at a server of some version; ended once. */
export interface VersionRun {
  /**
   * @param end - What became of it.
   * @param firstMs - Time to the first byte of a good answer, in milliseconds.
   * @param wholeMs - Time to its end, in milliseconds.
   */
  finish(end: VersionEnd, firstMs?: number, wholeMs?: number): void;
}

/**
 * Counts what became of requests by service, version and route, at this host since its
 * start: sums that only grow, so that what is told twice counts once.
 */
export class VersionLedger {
  private readonly services = new Map<string, Map<string, VersionCounts>>();

  /** Notes that a request is sent to a server. */
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
        addEnd(counts, end, firstMs, wholeMs);
      },
    };
  }

  /** Counts a service from nothing, since a roll-out begins. */
  startAnew(service: string): void {
    this.services.delete(service);
  }

  /** Returns the counts of a service. */
  list(service: string): VersionCounts[] {
    return [...(this.services.get(service)?.values() ?? [])].map(counts => ({
      ...counts,
    }));
  }

  private get(service: string, version: string, route: string): VersionCounts {
    const byKey =
      this.services.get(service) ?? new Map<string, VersionCounts>();
    this.services.set(service, byKey);
    const key = `${version}\n${route}`;
    const counts = byKey.get(key) ?? createVersionCounts(version, route);
    byKey.set(key, counts);
    return counts;
  }
}

function addEnd(
  counts: VersionCounts,
  end: VersionEnd,
  firstMs: number,
  wholeMs: number,
): void {
  if (end === VersionEnd.NEUTRAL) {
    return;
  }
  counts.answers++;
  if (end === VersionEnd.BAD) {
    counts.bad++;
    return;
  }
  counts.firstMs += firstMs;
  counts.wholeMs += wholeMs;
}
