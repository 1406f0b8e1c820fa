import {build, Histogram} from 'hdr-histogram-js';

/** Upper bounds of the exported buckets, in milliseconds. */
export const BUCKETS_MS = [
  1, 2, 5, 10, 20, 50, 72, 100, 200, 310, 500, 1000, 2000, 5000, 10_000, 60_000,
] as const;

const HIGHEST_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;

/** Histogram of a duration: exact bucket counts, and an HDR histogram for percentiles. */
export class DurationHistogram {
  private readonly buckets = new Array<number>(BUCKETS_MS.length).fill(0);
  private readonly hdr: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  private sumMs = 0;

  /** Records a duration in milliseconds, clamped to 0 to `HIGHEST_MS`. */
  record(ms: number): void {
    const value = Math.min(HIGHEST_MS, Math.max(0, ms));
    this.sumMs += value;
    this.hdr.recordValue(Math.round(value));
    const index = BUCKETS_MS.findIndex(bound => value <= bound);
    if (index >= 0) {
      this.buckets[index] = (this.buckets[index] ?? 0) + 1;
    }
  }

  /** Returns the number of durations recorded. */
  getCount(): number {
    return this.hdr.totalCount;
  }

  /** Returns the sum of all durations, in milliseconds. */
  getSumMs(): number {
    return this.sumMs;
  }

  /** Returns, for each bound of `BUCKETS_MS`, the number of durations up to it. */
  listCumulative(): number[] {
    let total = 0;
    return this.buckets.map(count => (total += count));
  }

  /** Returns a percentile (0 to 100) of the durations, in milliseconds. */
  getPercentileMs(percentile: number): number {
    return this.hdr.getValueAtPercentile(percentile);
  }
}
