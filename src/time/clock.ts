/** Takes a timer back; does nothing once it has run. */
export type CancelTimer = () => void;

/**
 * Source of time, passed in so that tests can run on a virtual clock.
 */
export interface Clock {
  /** Returns the wall-clock time. */
  now(): Date;
  /** Returns milliseconds on a clock that never steps backwards. */
  monotonicMs(): number;
  /**
   * Waits for a span of time.
   * @param ms - Length of the wait in milliseconds.
   * @param signal - Ends the wait early, without an error, when aborted.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /**
   * Has a function called later, which costs less than a wait that may be ended.
   * @param ms - When to call it, in milliseconds from now.
   * @param call - The function.
   * @returns Takes it back.
   */
  startTimer(ms: number, call: () => void): CancelTimer;
}
