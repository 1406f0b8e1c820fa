import {Repeat} from '../catalog/index.js';

/** Limits on the attempts at one request. */
export interface AttemptRules {
  /** Whether the request may run on a second server, and when. */
  readonly repeat: Repeat;
  /** Maximum number of servers that may have run the request. */
  readonly maxRuns: number;
  /**
   * Maximum number of additional servers that are tried as long as it is
   * certain that they did not run the request.
   */
  readonly maxUnexecuted: number;
  /** Takes one retry from the budget; returns whether one was available. */
  readonly spendRetry: () => boolean;
}
