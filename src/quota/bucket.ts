import {Clock} from '../time/index.js';
import {PastSpending, SpendingHistory} from './spending_history.js';

/** Initial level of a bucket, as a share of its depth. */
const INITIAL_LEVEL_SHARE = 0.5;
/**
 * Level at which a request larger than this level is admitted, as a share of
 * the depth.
 */
const LARGE_REQUEST_LEVEL_SHARE = 0.5;
const MS_PER_SECOND = 1000;

/**
 * A token bucket whose rate and depth may change at any time. A request that is
 * larger than the bucket is admitted once the bucket is half full. The level
 * then becomes negative and is refilled afterwards, so that large requests are
 * not starved.
 */
export class Bucket {
  private level: number | undefined;
  private readonly early: SpendingHistory;
  private refilledMs: number;
  private perSecond = 0;
  private depth = 0;

  constructor(private readonly clock: Clock) {
    this.refilledMs = clock.monotonicMs();
    this.early = new SpendingHistory(clock);
  }

  /**
   * Sets the rate and the depth.
   * @param perSecond - Units added per second.
   * @param depth - Maximum number of units in the bucket.
   */
  setLimits(perSecond: number, depth: number): void {
    this.refill();
    this.perSecond = perSecond;
    this.depth = depth;
    const level =
      this.level ??
      this.early.getLevel(depth * INITIAL_LEVEL_SHARE, perSecond, depth);
    this.level = Math.min(depth, level);
  }

  /**
   * Returns whether the level is high enough to admit a request.
   * @param units - Units of the request.
   * @param reserved - Units that must be available in addition.
   */
  covers(units: number, reserved = 0): boolean {
    this.refill();
    return (this.level ?? 0) >= this.getNeeded(units) + reserved;
  }

  /** Returns the available units; negative after a large request. */
  getLevel(): number {
    this.refill();
    return this.level ?? 0;
  }

  /** Returns the maximum number of units in the bucket. */
  getDepth(): number {
    return this.depth;
  }

  /**
   * Returns the time until a request can be admitted, in milliseconds.
   * @param units - Units of the request.
   * @param reserved - Units that must be available in addition.
   */
  getWaitMs(units: number, reserved = 0): number {
    const missing = this.getNeeded(units) + reserved - (this.level ?? 0);
    return (Math.max(0, missing) / Math.max(this.perSecond, 1)) * MS_PER_SECOND;
  }

  /** Subtracts units, whether they are available or not. */
  spend(units: number): void {
    this.refill();
    if (this.level === undefined) {
      this.early.add(units);
    } else {
      this.level -= units;
    }
  }

  /** Subtracts what was spent some time ago, less what has been refilled since. */
  spendPast(spending: readonly PastSpending[]): void {
    const history =
      this.level === undefined ? this.early : new SpendingHistory(this.clock);
    for (const {units, agoMs} of spending) {
      history.add(units, agoMs);
    }
    if (this.level !== undefined) {
      this.level += history.getLevel(0, this.perSecond, 0);
    }
  }

  /** Returns whether the limits have been set. */
  hasLimits(): boolean {
    return this.level !== undefined;
  }

  private getNeeded(units: number): number {
    return Math.min(units, this.depth * LARGE_REQUEST_LEVEL_SHARE);
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const inflow = ((nowMs - this.refilledMs) / MS_PER_SECOND) * this.perSecond;
    this.refilledMs = nowMs;
    if (this.level !== undefined) {
      this.level = Math.min(this.depth, this.level + inflow);
    }
  }
}
