import {ServiceCall} from '../backend/index.js';
import {Problem} from '../errors/index.js';
import {RecordedAnswer} from './entry.js';

/** A call that may run at most once, on its way to the holder of its book. */
export interface CallOrder {
  /** See `getEntryKey`. */
  readonly entryKey: string;
  readonly requestId: string;
  readonly customer: string;
  readonly deployment: string;
  readonly fingerprint: string;
  readonly call: ServiceCall;
  /** When the caller stops waiting, on the local monotonic clock, in ms. */
  readonly deadlineMs: number;
  /** Whether the caller wants to be answered once the call is durable. */
  readonly respondAsync: boolean;
  /**
   * Identifies the caller's one request, which may reach a holder several
   * times: a copy that comes late must not run what was already refused.
   */
  readonly instance: string;
  /** Number of this copy: each is sent under a higher one. */
  readonly copy: number;
}

/** What came of a call. */
export const OutcomeKind = {
  ANSWERED: 'answered',
  /** Durable; it will run, and the answer can be asked for. */
  ACCEPTED: 'accepted',
  FAILED: 'failed',
  /** This host does not hold the book; nothing was done. */
  MOVED: 'moved',
} as const;

/** What came of a call. */
export type CallOutcome =
  | {
      readonly kind: typeof OutcomeKind.ANSWERED;
      readonly answer: RecordedAnswer;
      /** Whether the answer was given before, to an earlier request. */
      readonly replayed: boolean;
    }
  | {readonly kind: typeof OutcomeKind.ACCEPTED}
  | {readonly kind: typeof OutcomeKind.FAILED; readonly problem: Problem}
  | {readonly kind: typeof OutcomeKind.MOVED};

/** What came of dispatching a call to back ends. */
export const DispatchKind = {
  ANSWERED: 'answered',
  /** No back end received it, and none will. */
  NOT_SENT: 'not-sent',
  /** A back end may have received it; no answer came. */
  LOST: 'lost',
} as const;

/** What came of dispatching a call to back ends. */
export type DispatchResult =
  | {
      readonly kind: typeof DispatchKind.ANSWERED;
      readonly answer: RecordedAnswer;
    }
  | {readonly kind: typeof DispatchKind.NOT_SENT; readonly problem: Problem}
  | {readonly kind: typeof DispatchKind.LOST; readonly detail: string};

/** Sends a call to a back end, never twice once it may have been received. */
export type Dispatch = (order: CallOrder) => Promise<DispatchResult>;

/** Asks the back ends for an answer that was lost. */
export type Lookup = (
  deployment: string,
  key: string,
) => Promise<RecordedAnswer | undefined>;
