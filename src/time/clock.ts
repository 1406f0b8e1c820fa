/** Cancels a timer; has no effect once the timer has fired. */
export type CancelTimer = () => void;

/**
 * Source of time, injected so that tests can run on a virtual clock.
 */
export interface Clock {
  /** Returns the wall-clock time. */
  now(): Date;
  /** Returns the time of a clock that never steps backwards, in milliseconds. */
  monotonicMs(): number;
  /**
   * Waits for a duration.
   * @param ms - Duration in milliseconds.
   * @param signal - When aborted, resolves the promise early, without an error.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /**
   * Schedules a function call. Costs less than `sleep` with an abort signal.
   * @param ms - Delay in milliseconds.
   * @param call - Function to call.
   * @returns A function that cancels the timer.
   */
  startTimer(ms: number, call: () => void): CancelTimer;
}
