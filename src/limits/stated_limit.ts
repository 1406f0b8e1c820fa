import {Maybe, Result} from 'true-myth';

/**
 * What an answer states of its server's limit: requests a second that the server takes
 * from all hosts together, nothing where it states none, or why it cannot be used.
 */
export type StatedLimit = Result<Maybe<number>, string>;
