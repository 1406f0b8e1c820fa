/** Work of one service over all hosts. */
export interface ServiceWork {
  /** Prompt tokens per second that engines have to compute. */
  readonly prefillPerSecond: number;
  /** Requests in flight. */
  readonly running: number;
  /** Servers that have limited what they take for so long that others stand in for them. */
  readonly limited: number;
}
