import {Clock} from '../time/index.js';

/** Time for which one reading is extrapolated, in milliseconds. */
const REFRESH_INTERVAL_MS = 1000;

/**
 * Reference time, read at most once per second and extrapolated in between with the
 * monotonic clock, since each reading is costly.
 */
export class ExtrapolatedTime {
  /** Reference time minus the monotonic clock, in milliseconds. */
  private offsetMs = 0;
  /** Time of the last reading, monotonic milliseconds. */
  private lastReadMs = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - Extrapolates a reading.
   * @param readReferenceMs - Reads reference time, in Unix milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly readReferenceMs: () => number,
  ) {}

  /** Returns reference time in Unix milliseconds. */
  getMs(): number {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.lastReadMs >= REFRESH_INTERVAL_MS) {
      this.lastReadMs = nowMs;
      this.offsetMs = this.readReferenceMs() - nowMs;
    }
    return nowMs + this.offsetMs;
  }
}
