import {hashText} from '../random/index.js';

/**
 * Number of books (partitions) among which the keys chosen by callers are divided.
 *
 * All hosts of all releases must use the same number. 32 books allow 32 hosts to
 * record at the same time; docs/CAPACITY.md shows that this is enough for the
 * table's budget.
 */
export const SLOT_COUNT = 32;

const SLOT_PREFIX = 'slot-';
const HOST_PREFIX = 'host-';

/** Returns the name of the book of a slot. */
export function getSlotBook(slot: number): string {
  return SLOT_PREFIX + String(slot).padStart(2, '0');
}

/** Returns the name of the book that holds an entry key. */
export function getBookOfKey(entryKey: string): string {
  return getSlotBook(hashText(entryKey) % SLOT_COUNT);
}

/** Returns the name of the book of the keys minted by one incarnation of a host. */
export function getHostBook(host: string, incarnation: string): string {
  return `${HOST_PREFIX}${host}-${incarnation}`;
}

/** Returns whether a book belongs to a slot rather than to a host. */
export function isSlotBook(book: string): boolean {
  return book.startsWith(SLOT_PREFIX);
}
