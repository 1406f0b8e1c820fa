/** Load of one service over all hosts. */
export interface ServiceWork {
  /** Prompt tokens per second that engines must compute. */
  readonly prefillPerSecond: number;
  /** Requests in flight. */
  readonly running: number;
  /** Servers that have stated a rate limit for so long that others must replace them. */
  readonly limited: number;
}
