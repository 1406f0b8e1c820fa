import {Repeat} from '../catalog/index.js';

/** What bounds the attempts at one request. */
export interface AttemptRules {
  /** What may be sent to a second server, and when. */
  readonly repeat: Repeat;
  /** Servers that may have run the request, at most. */
  readonly maxRuns: number;
  /** Servers asked beyond those, while they say that it did not run. */
  readonly maxNotRun: number;
  /** Spends one retry; returns whether there was one. */
  readonly spendRetry: () => boolean;
}
