import {Clock} from '../time/index.js';

/** Part of its depth that a bucket holds when the process starts. */
const FIRST_LEVEL = 0.5;
/** Part of its depth that must be there for a request larger than that. */
const LARGE_LEVEL = 0.5;
const MS_PER_SECOND = 1000;

/**
 * A token bucket whose rate and depth may change at any time. A request that is
 * larger than the bucket is let through once the bucket is half full and paid
 * off afterwards, so that large requests are not starved.
 */
export class Bucket {
  private level: number | undefined;
  private filledMs: number;
  private perSecond = 0;
  private depth = 0;

  constructor(private readonly clock: Clock) {
    this.filledMs = clock.monotonicMs();
  }

  /**
   * Changes what flows in and how much is held.
   * @param perSecond - Units that flow in per second.
   * @param depth - Most units it holds.
   */
  setFlow(perSecond: number, depth: number): void {
    this.fill();
    this.perSecond = perSecond;
    this.depth = depth;
    this.level = Math.min(depth, this.level ?? depth * FIRST_LEVEL);
  }

  /**
   * Tells whether a request's units are there.
   * @param units - The request's units.
   * @param reserved - Units that are to be left besides.
   */
  covers(units: number, reserved = 0): boolean {
    this.fill();
    return (this.level ?? 0) >= this.getNeeded(units) + reserved;
  }

  /** Returns the units that are there; negative while a debt is paid off. */
  getLevel(): number {
    this.fill();
    return this.level ?? 0;
  }

  /** Returns the milliseconds until a request's units will be there. */
  getWaitMs(units: number): number {
    const missing = this.getNeeded(units) - (this.level ?? 0);
    return (Math.max(0, missing) / Math.max(this.perSecond, 1)) * MS_PER_SECOND;
  }

  /** Takes units out, whether they are there or not. */
  spend(units: number): void {
    this.fill();
    if (this.level !== undefined) {
      // What was spent before the flow is known is in the first level.
      this.level -= units;
    }
  }

  private getNeeded(units: number): number {
    return Math.min(units, this.depth * LARGE_LEVEL);
  }

  private fill(): void {
    const nowMs = this.clock.monotonicMs();
    const inflow = ((nowMs - this.filledMs) / MS_PER_SECOND) * this.perSecond;
    this.filledMs = nowMs;
    if (this.level !== undefined) {
      this.level = Math.min(this.depth, this.level + inflow);
    }
  }
}
