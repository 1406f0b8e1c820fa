/** Exchange of changes between hosts, each sent once per receiver. */
export {ChangeMessages} from './change_messages.js';
export type {
  ChangePage,
  ChangeSource,
  AcknowledgingPage,
} from './change_messages.js';
export {changeUpdatesSchema} from './change_updates.js';
export {listChangedSince} from './list_changed_since.js';
export type {ChangedEntries, ChangeQuery} from './list_changed_since.js';
