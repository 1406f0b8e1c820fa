import {CancelTimer, Clock} from './clock.js';

/** Longest interval between two checks, in milliseconds. */
const MAX_CHECK_INTERVAL_MS = 500;
/** Shared by all instances: each new Error captures a stack trace, which is costly. */
const INACTIVE = new Error('inactive for too long');

/**
 * Aborts a signal after a period without activity, such as a stream that sends no
 * data. A stream needs one timer, not one per token: `touch` only stores the time,
 * and the timer is restarted when it fires.
 */
export class InactivityTimeout {
  private readonly controller = new AbortController();
  private lastActivityMs: number;
  private cancel: CancelTimer = () => undefined;

  /**
   * @param clock - Measures the inactivity.
   * @param limitMs - Longest inactivity allowed, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private limitMs: number,
  ) {
    this.lastActivityMs = clock.monotonicMs();
    this.check();
  }

  /** Returns a signal that is aborted when the limit is reached. */
  getSignal(): AbortSignal {
    return this.controller.signal;
  }

  /** Returns the current limit, in milliseconds. */
  getLimitMs(): number {
    return this.limitMs;
  }

  /** Returns the time since the last activity, in milliseconds. */
  getInactiveMs(): number {
    return this.clock.monotonicMs() - this.lastActivityMs;
  }

  /**
   * Records activity.
   * @param limitMs - Longest inactivity allowed from now on, in milliseconds.
   */
  touch(limitMs: number): void {
    this.lastActivityMs = this.clock.monotonicMs();
    this.limitMs = limitMs;
  }

  /** Cancels the timer; the signal is not aborted any more. */
  stop(): void {
    this.cancel();
  }

  private check(): void {
    const inactiveMs = this.getInactiveMs();
    if (inactiveMs >= this.limitMs) {
      this.controller.abort(INACTIVE);
      return;
    }
    // `touch` may lower the limit in the meantime, so the wait has an upper bound.
    const waitMs = Math.min(this.limitMs - inactiveMs, MAX_CHECK_INTERVAL_MS);
    this.cancel = this.clock.startTimer(waitMs, () => this.check());
  }
}
