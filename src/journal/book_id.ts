import {hashText} from '../random/index.js';

/**
 * Number of books that share the keys which callers choose.
 *
 * All hosts of all releases must agree on it. 32 books allow 32 hosts to record
 * at once, which docs/CAPACITY.md shows to be enough for the table's budget.
 */
export const SLOT_COUNT = 32;

const SLOT_PREFIX = 'slot-';
const HOST_PREFIX = 'host-';

/** Names the book of a slot. */
export function getSlotBook(slot: number): string {
  return SLOT_PREFIX + String(slot).padStart(2, '0');
}

/** Names the book in which an entry key stands. */
export function getBookOfKey(entryKey: string): string {
  return getSlotBook(hashText(entryKey) % SLOT_COUNT);
}

/** Names the book of the keys that one start of one host has minted. */
export function getHostBook(host: string, incarnation: string): string {
  return `${HOST_PREFIX}${host}-${incarnation}`;
}

/** Tells whether a book belongs to a slot rather than to a host. */
export function isSlotBook(book: string): boolean {
  return book.startsWith(SLOT_PREFIX);
}
