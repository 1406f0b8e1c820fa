/**
 * Limit on the retries of all hosts together, from which each host derives its
 * part.
 */
export interface RetryLimit {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Window in which requests and retries are counted, in milliseconds. */
  readonly windowMs: number;
  /** Additional retries allowed per window, over all hosts. */
  readonly slack: number;
  /**
   * Number of hosts that this one knows, itself included; `undefined` as long as it has not
   * read the list of all hosts.
   */
  readonly hosts: number | undefined;
}
