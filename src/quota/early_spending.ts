import {Clock} from '../time/index.js';

/** Interval over which spending is added up, in milliseconds; bounds the memory. */
const SAMPLE_MS = 250;
/** Time for which spending is kept, in milliseconds: longer than the window of the bound. */
const KEPT_MS = 10_000;
const MS_PER_SECOND = 1000;

/**
 * Remembers what was spent from a bucket before its limits are known. A host learns of the
 * spending of others before the first request of the customer reaches it.
 */
export class EarlySpending {
  private readonly samples: {readonly atMs: number; units: number}[] = [];

  constructor(private readonly clock: Clock) {}

  /** Adds units that were spent now. */
  add(units: number): void {
    const nowMs = this.clock.monotonicMs();
    const last = this.samples.at(-1);
    if (last !== undefined && nowMs - last.atMs < SAMPLE_MS) {
      last.units += units;
      return;
    }
    this.samples.push({atMs: nowMs, units});
    while ((this.samples[0]?.atMs ?? nowMs) < nowMs - KEPT_MS) {
      this.samples.shift();
    }
  }

  /**
   * Returns the level that a bucket would have now.
   * @param level - Level before the first remembered spending.
   * @param perSecond - Units added per second.
   * @param depth - Maximum level.
   */
  getLevel(level: number, perSecond: number, depth: number): number {
    let current = level;
    let atMs = this.samples[0]?.atMs ?? 0;
    const refill = (untilMs: number) => {
      const inflow = ((untilMs - atMs) / MS_PER_SECOND) * perSecond;
      current = Math.min(depth, current + inflow);
      atMs = untilMs;
    };
    for (const sample of this.samples) {
      refill(sample.atMs);
      current -= sample.units;
    }
    if (this.samples.length > 0) {
      refill(this.clock.monotonicMs());
    }
    return current;
  }
}
