/** What decides on the retries of one service at this host. */
export interface RetryBudgetState {
  /** Requests of the last window that this host received. */
  readonly requests: number;
  /** Retries of the last window that this host has spent. */
  readonly retries: number;
  /** Retries that it may spend now. */
  readonly left: number;
  /** This host's part of the slack, per window. */
  readonly slack: number;
  /** Number of hosts among which the slack is divided. */
  readonly hosts: number;
  /** Time since this process began to count, in milliseconds. */
  readonly ageMs: number;
}
