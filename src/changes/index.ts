/** Exchange of changes between hosts, each sent once per receiver. */
export {ChangeWords} from './change_words.js';
export type {
  ChangePage,
  ChangeSource,
  AcknowledgingPage,
} from './change_words.js';
export {listChangedSince} from './list_changed_since.js';
export type {ChangedEntries, ChangeQuery} from './list_changed_since.js';
