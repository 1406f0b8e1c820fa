import {Clock} from './clock.js';
import {SilenceWatch} from './silence_watch.js';

/** Shared by all instances: each new Error captures a stack trace, which is costly. */
const INACTIVE = new Error('inactive for too long');

/** Aborts a signal after a period without activity. */
export class InactivityTimeout {
  private readonly controller = new AbortController();
  private readonly watch: SilenceWatch;

  /**
   * @param clock - Measures the inactivity.
   * @param limitMs - Longest inactivity allowed, in milliseconds.
   */
  constructor(
    clock: Clock,
    private limitMs: number,
  ) {
    this.watch = new SilenceWatch(clock, limitMs, () => this.abort());
  }

  /** Returns a signal that is aborted when the limit is reached. */
  getSignal(): AbortSignal {
    return this.controller.signal;
  }

  /** Returns the current limit, in milliseconds. */
  getLimitMs(): number {
    return this.limitMs;
  }

  /**
   * Records activity.
   * @param limitMs - Longest inactivity allowed from now on, in milliseconds.
   */
  touch(limitMs: number): void {
    this.limitMs = limitMs;
    this.watch.touch(limitMs);
  }

  /** Cancels the timer; the signal is not aborted any more. */
  stop(): void {
    this.watch.stop();
  }

  private abort(): void {
    this.stop();
    this.controller.abort(INACTIVE);
  }
}
