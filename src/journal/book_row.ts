import {Entry} from './entry.js';

/** Row of a book: its owner and the number of batches written. */
export interface BookRow {
  /** Name of the host that holds the book; empty once released. */
  readonly owner: string;
  readonly ownerIncarnation: string;
  /** Increases with every change of owner. */
  readonly fence: number;
  /** Number of batches written so far. */
  readonly sequence: number;
  /** Identifies the last write, so that its writer can check it after a lost answer. */
  readonly token: string;
}

/** Row of one batch of entries. */
export interface BatchRow {
  readonly entries: readonly Entry[];
}

/** Prefix of the keys of book rows. */
export const BOOK_PREFIX = 'books/';

const BATCH_PREFIX = 'journal/';
const SEQUENCE_DIGITS = 10;

/** Returns the key of a book's row. */
export function getBookKey(book: string): string {
  return BOOK_PREFIX + book;
}

/** Returns the prefix of the keys of a book's batches. */
export function getBatchPrefix(book: string): string {
  return `${BATCH_PREFIX}${book}/`;
}

/** Returns the key of one batch; keys sort in the order of writing. */
export function getBatchKey(book: string, sequence: number): string {
  const digits = String(sequence).padStart(SEQUENCE_DIGITS, '0');
  return getBatchPrefix(book) + digits;
}
