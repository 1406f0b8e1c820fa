import {Problem} from '../errors/index.js';
import {CallOutcome} from './call_order.js';
import {Entry} from './entry.js';

/** An entry and, while its call runs here, the promise of its outcome. */
export interface LiveEntry {
  entry: Entry;
  /** Whether the record it stands on is certainly in the table. */
  durable: boolean;
  /** Whether a caller was told that the call is accepted. */
  accepted: boolean;
  pending?: Promise<CallOutcome>;
  /** Requests that were told their call did not run, with what they were told. */
  readonly refusals: Map<string, Problem>;
}

/** Marks a call as running here until its outcome is known. */
export function track(
  live: LiveEntry,
  pending: Promise<CallOutcome>,
): Promise<CallOutcome> {
  live.pending = pending;
  const clear = () => {
    if (live.pending === pending) {
      delete live.pending;
    }
  };
  void pending.then(clear, clear);
  return pending;
}
