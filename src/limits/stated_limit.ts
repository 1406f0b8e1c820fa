import {Maybe, Result} from 'true-myth';

/**
 * The limit that an answer states for its server: the requests per second that the
 * server accepts from all hosts together, nothing if it states none, or the reason why
 * the statement cannot be used.
 */
export type StatedLimit = Result<Maybe<number>, string>;
