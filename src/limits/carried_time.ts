import {Clock} from '../time/index.js';

/** Time for which a reading is carried on, in milliseconds. */
const CARRIED_MS = 1000;

/** True time, carried on by the monotonic clock: to read it takes some work. */
export class CarriedTime {
  /** True time less the monotonic clock, in milliseconds. */
  private offsetMs = 0;
  /** When that was read, monotonic milliseconds. */
  private readMs = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - Carries a reading on.
   * @param readTrueMs - Reads true time, in Unix milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly readTrueMs: () => number,
  ) {}

  /** Returns true time in Unix milliseconds. */
  getMs(): number {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.readMs >= CARRIED_MS) {
      this.readMs = nowMs;
      this.offsetMs = this.readTrueMs() - nowMs;
    }
    return nowMs + this.offsetMs;
  }
}
