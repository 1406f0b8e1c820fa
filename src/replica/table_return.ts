/** The end of an outage of a table, as one host has noticed it. */
export interface TableReturn {
  /** Time for which the table had been available in total, in milliseconds. */
  readonly uptimeMs: number;
  /**
   * Newest version of the table when it was back; rows of later versions were written
   * since. `undefined` until a response states it.
   */
  readonly version: number | undefined;
}
