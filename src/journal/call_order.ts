import {ServiceCall} from '../backend/index.js';
import {Problem} from '../errors/index.js';
import {RecordedAnswer} from './entry.js';

/** A call that may run at most once, as sent to the holder of its book. */
export interface CallOrder {
  /** See `getEntryKey`. */
  readonly entryKey: string;
  readonly requestId: string;
  readonly customer: string;
  readonly deployment: string;
  readonly fingerprint: string;
  readonly call: ServiceCall;
  /** Time at which the caller stops waiting, on the local monotonic clock, in ms. */
  readonly deadlineMs: number;
  /** Whether the caller asked for an answer as soon as the call is durable. */
  readonly respondAsync: boolean;
  /**
   * Identifies one request of the caller, which may reach a holder several times: a
   * delayed copy must not run a call that was already refused.
   */
  readonly instance: string;
  /** Number of this copy; each further copy is sent with a higher number. */
  readonly copy: number;
}

/** Outcome of a call. */
export const OutcomeKind = {
  ANSWERED: 'answered',
  /** Recorded durably; the call will run, and its answer can be queried later. */
  ACCEPTED: 'accepted',
  FAILED: 'failed',
  /** This host does not hold the book; nothing was done. */
  MOVED: 'moved',
} as const;

/** Outcome of a call. */
export type CallOutcome =
  | {
      readonly kind: typeof OutcomeKind.ANSWERED;
      readonly answer: RecordedAnswer;
      /** Whether the answer is that of an earlier request under the same key. */
      readonly replayed: boolean;
    }
  | {readonly kind: typeof OutcomeKind.ACCEPTED}
  | {readonly kind: typeof OutcomeKind.FAILED; readonly problem: Problem}
  | {readonly kind: typeof OutcomeKind.MOVED};

/** Result of dispatching a call to backend servers. */
export const DispatchKind = {
  ANSWERED: 'answered',
  /** No backend server received it, and none will. */
  NOT_SENT: 'not-sent',
  /** A backend server may have received it, but no answer arrived. */
  LOST: 'lost',
} as const;

/** Result of dispatching a call to backend servers. */
export type DispatchResult =
  | {
      readonly kind: typeof DispatchKind.ANSWERED;
      readonly answer: RecordedAnswer;
    }
  | {readonly kind: typeof DispatchKind.NOT_SENT; readonly problem: Problem}
  | {readonly kind: typeof DispatchKind.LOST; readonly detail: string};

/** Sends a call to a backend server; never again once one may have received it. */
export type Dispatch = (order: CallOrder) => Promise<DispatchResult>;

/** Queries the backend servers for an answer that was lost. */
export type Lookup = (
  deployment: string,
  key: string,
) => Promise<RecordedAnswer | undefined>;
