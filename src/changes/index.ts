/** Changes that hosts tell each other once, each what it knows and has heard. */
export {ChangeWords} from './change_words.js';
export type {ChangePage, ChangeSource, HeardPage} from './change_words.js';
export {listChangedSince} from './list_changed_since.js';
export type {ChangedEntries, ChangeQuestion} from './list_changed_since.js';
