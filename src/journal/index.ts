/** At-most-once calls: books of calls, their journals and their holders. */
export * from './call_order.js';
export * from './entry.js';
export * from './book_id.js';
export {
  formatMintedKey,
  isMintedKey,
  KeyMint,
  parseMintedKey,
} from './minted_key.js';
export type {MintedKey} from './minted_key.js';
export {Book} from './book.js';
export type {BookOptions} from './book.js';
export {BookDirectory} from './book_directory.js';
export type {BookClaim} from './book_directory.js';
export {bookHandoverSchema, entrySchema} from './book_handover.js';
export type {BookHandover} from './book_handover.js';
export {Bookkeeper} from './bookkeeper.js';
export type {BookkeeperOptions} from './bookkeeper.js';
export {BookTable} from './book_table.js';
export {CommitBudget} from './commit_budget.js';
export {AppendFailure, Journal} from './journal.js';
export type {BookPosition, JournalOptions} from './journal.js';
