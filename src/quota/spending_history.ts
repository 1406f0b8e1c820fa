import {Clock} from '../time/index.js';

/** Interval over which spending is added up, in milliseconds; bounds the memory. */
const SAMPLE_MS = 250;
/** Time for which spending is kept, in milliseconds: longer than the window of the bound. */
const KEPT_MS = 10_000;
const MS_PER_SECOND = 1000;

/** Units that were spent some time ago. */
export interface PastSpending {
  readonly agoMs: number;
  readonly units: number;
}

/**
 * Remembers what was spent in the last seconds: of a bucket whose limits are not known yet,
 * and of a customer, for hosts that start later.
 */
export class SpendingHistory {
  /** In the order of time, monotonic milliseconds. */
  private readonly samples: {readonly atMs: number; units: number}[] = [];

  constructor(private readonly clock: Clock) {}

  /** Adds units that were spent now, or some time ago. */
  add(units: number, agoMs = 0): void {
    const nowMs = this.clock.monotonicMs();
    const atMs = nowMs - agoMs;
    const index = this.samples.findLastIndex(sample => sample.atMs <= atMs);
    const sample = this.samples[index];
    if (sample !== undefined && atMs - sample.atMs < SAMPLE_MS) {
      sample.units += units;
    } else {
      this.samples.splice(index + 1, 0, {atMs, units});
    }
    while ((this.samples[0]?.atMs ?? nowMs) < nowMs - KEPT_MS) {
      this.samples.shift();
    }
  }

  /** Lists what was spent within the kept time, the oldest first. */
  list(): PastSpending[] {
    const nowMs = this.clock.monotonicMs();
    return this.samples
      .map(({atMs, units}) => ({agoMs: nowMs - atMs, units}))
      .filter(({agoMs}) => agoMs <= KEPT_MS);
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
