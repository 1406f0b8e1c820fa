import {CancelTimer, Clock} from './clock.js';

/** Longest interval between two checks, in milliseconds. */
const MAX_CHECK_INTERVAL_MS = 500;
/**
 * First and longest interval between the reports of a silence that goes on, in milliseconds. It
 * doubles, so that many streams that are silent for long cost little.
 */
const FIRST_REPEAT_MS = 250;
const MAX_REPEAT_MS = 500;
/**
 * Delay from which a timer shows that this process stood still, in milliseconds. What arrived
 * in that time is read only after the timer has fired.
 */
const STANDSTILL_MS = 50;

/**
 * Reports periods without activity, such as a stream that sends no data. A stream needs one
 * timer, not one per token: `touch` only stores the time, and the timer is restarted when it
 * fires. Time in which this process stood still does not count.
 */
export class SilenceWatch {
  private lastActivityMs: number;
  private dueMs: number;
  private silent = false;
  private repeatMs = FIRST_REPEAT_MS;
  private paused = false;
  private cancel: CancelTimer = () => undefined;

  /**
   * @param clock - Measures the silence.
   * @param limitMs - Longest time without activity that is no silence, in milliseconds.
   * @param onSilent - Called when the limit is reached, and repeatedly until there is activity.
   */
  constructor(
    private readonly clock: Clock,
    private limitMs: number,
    private readonly onSilent: () => void,
  ) {
    this.lastActivityMs = clock.monotonicMs();
    this.dueMs = this.lastActivityMs;
    this.schedule(limitMs);
  }

  /** Returns whether the limit has been reached, and there was no activity since. */
  isSilent(): boolean {
    return this.silent;
  }

  /** Returns the time since the last activity, in milliseconds. */
  getInactiveMs(): number {
    return this.clock.monotonicMs() - this.lastActivityMs;
  }

  /**
   * Records activity, and ends a pause.
   * @param limitMs - Longest time without activity from now on, in milliseconds.
   */
  touch(limitMs: number): void {
    this.lastActivityMs = this.clock.monotonicMs();
    this.limitMs = limitMs;
    this.silent = false;
    this.repeatMs = FIRST_REPEAT_MS;
    this.paused = false;
  }

  /** Reports no silence until the next activity, since nothing is read meanwhile. */
  pause(): void {
    this.paused = true;
  }

  /** Cancels the timer; nothing is reported any more. */
  stop(): void {
    this.cancel();
  }

  private check(): void {
    const nowMs = this.clock.monotonicMs();
    const lateMs = nowMs - this.dueMs;
    if (lateMs >= STANDSTILL_MS) {
      this.lastActivityMs = Math.min(nowMs, this.lastActivityMs + lateMs);
    }
    const remainingMs = this.limitMs - this.getInactiveMs();
    if (this.paused || remainingMs > 0) {
      this.schedule(this.paused ? MAX_CHECK_INTERVAL_MS : remainingMs);
      return;
    }
    this.silent = true;
    this.schedule(this.repeatMs);
    this.repeatMs = Math.min(2 * this.repeatMs, MAX_REPEAT_MS);
    this.onSilent();
  }

  private schedule(delayMs: number): void {
    // `touch` may lower the limit in the meantime, so the wait has an upper bound.
    const waitMs = Math.min(delayMs, MAX_CHECK_INTERVAL_MS);
    this.dueMs = this.clock.monotonicMs() + waitMs;
    this.cancel = this.clock.startTimer(waitMs, () => this.check());
  }
}
