import {rankByRendezvous} from '../random/index.js';
import {BookRow} from './book_row.js';

/** What the decision to take a book depends on. */
export interface TakeoverQuestion {
  readonly book: string;
  /** Its row as last read; absent if it has none. */
  readonly row: BookRow | undefined;
  /** How long the row has been seen unchanged, in milliseconds. */
  readonly unchangedMs: number;
  readonly self: {readonly host: string; readonly incarnation: string};
  /** Names of the hosts that live, this one included. */
  readonly liveHosts: readonly string[];
  /** Returns whether a start of a host is known to have ended. */
  readonly isGone: (host: string, incarnation: string) => boolean;
  readonly leaseMs: number;
}

/**
 * Decides whether this host should take a book now. The first in rank takes a
 * vacant book at once and a silent owner's after one lease; each next in rank
 * waits one lease longer, in case those before it cannot. Two hosts that decide
 * alike do no harm: the row lets one of them win.
 */
export function decideTakeover(question: TakeoverQuestion): boolean {
  const {book, row, self, liveHosts, isGone} = question;
  const rank = rankByRendezvous(book, liveHosts).indexOf(self.host);
  if (rank < 0) {
    return false;
  }
  const vacant =
    row === undefined ||
    row.owner === '' ||
    isGone(row.owner, row.ownerIncarnation) ||
    // Taken, but the entries could not be read: take it again.
    (row.owner === self.host && row.ownerIncarnation === self.incarnation);
  const leases = vacant ? rank : rank + 1;
  return question.unchangedMs >= leases * question.leaseMs;
}
