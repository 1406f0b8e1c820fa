import {rankByRendezvous} from '../random/index.js';
import {BookRow} from './book_row.js';

/** Input of the decision whether to take a book. */
export interface TakeoverInput {
  readonly book: string;
  /** Its row as last read; `undefined` if it has none. */
  readonly row: BookRow | undefined;
  /** Time for which this host has seen the row unchanged, in milliseconds. */
  readonly unchangedMs: number;
  readonly self: {readonly host: string; readonly incarnation: string};
  /** Names of the live hosts, including this one. */
  readonly liveHosts: readonly string[];
  /** Returns whether an incarnation of a host is known to have terminated. */
  readonly hasTerminated: (host: string, incarnation: string) => boolean;
  readonly leaseMs: number;
}

/**
 * Decides whether this host should take a book now.
 *
 * The host that ranks first takes a vacant book at once, and the book of an owner
 * that no longer writes after one lease. Each following host waits one lease longer,
 * in case those before it cannot take the book. Two hosts may decide to take the
 * same book: the conditional write of its row lets only one succeed.
 */
export function decideTakeover(input: TakeoverInput): boolean {
  const {book, row, self, liveHosts, hasTerminated} = input;
  const rank = rankByRendezvous(book, liveHosts).indexOf(self.host);
  if (rank < 0) {
    return false;
  }
  const vacant =
    row === undefined ||
    row.owner === '' ||
    hasTerminated(row.owner, row.ownerIncarnation) ||
    // This host took the book but could not read its entries: take it again.
    (row.owner === self.host && row.ownerIncarnation === self.incarnation);
  const leases = vacant ? rank : rank + 1;
  return input.unchangedMs >= leases * input.leaseMs;
}
