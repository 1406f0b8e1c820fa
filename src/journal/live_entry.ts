import {Problem} from '../errors/index.js';
import {CallOutcome} from './call_order.js';
import {Entry} from './entry.js';

/** An entry and, while its call is running on this host, the promise of its outcome. */
export interface LiveEntry {
  entry: Entry;
  /** Whether the record it depends on is known to be in the table, if it needs one. */
  durable: boolean;
  /** Whether acceptance of the call was recorded, so that a caller may be told so. */
  accepted: boolean;
  pending?: Promise<CallOutcome>;
  /** Problems returned to requests whose call did not run, by request instance. */
  readonly refusals: Map<string, Problem>;
}

/** Marks a call as running on this host until its outcome is known. */
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
