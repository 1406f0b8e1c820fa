import {UsageCounts, WindowUsage} from './usage_ledger.js';

/** Maximum number of windows kept. */
const MAX_WINDOWS = 8;

/**
 * Usage counts that each incarnation of each host has reported, by window. Counts only
 * increase, so the highest reported count is the most recent. Counts of terminated
 * incarnations are kept.
 */
export class HostUsage {
  private readonly windows = new Map<number, Map<string, UsageCounts>>();

  /**
   * Merges the counts that a host reports.
   * @param origin - Host and incarnation that counted.
   * @param usages - Its counts by window.
   */
  add(origin: string, usages: readonly WindowUsage[]): void {
    for (const {window, counts} of usages) {
      const origins =
        this.windows.get(window) ?? new Map<string, UsageCounts>();
      origins.set(origin, mergeHighest(origins.get(origin) ?? {}, counts));
      this.windows.set(window, origins);
    }
    this.trim();
  }

  /** Lists the counts of each origin for a window. */
  list(window: number): (readonly [origin: string, counts: UsageCounts])[] {
    return [...(this.windows.get(window) ?? [])];
  }

  /** Sums one window over all origins. */
  sum(window: number): UsageCounts {
    const sums: Record<string, number> = {};
    for (const counts of this.windows.get(window)?.values() ?? []) {
      for (const [customer, count] of Object.entries(counts)) {
        sums[customer] = (sums[customer] ?? 0) + count;
      }
    }
    return sums;
  }

  private trim(): void {
    const newest = Math.max(...this.windows.keys());
    for (const window of this.windows.keys()) {
      if (window <= newest - MAX_WINDOWS) {
        this.windows.delete(window);
      }
    }
  }
}

function mergeHighest(a: UsageCounts, b: UsageCounts): UsageCounts {
  const merged: Record<string, number> = {...a};
  for (const [customer, count] of Object.entries(b)) {
    merged[customer] = Math.max(merged[customer] ?? 0, count);
  }
  return merged;
}
