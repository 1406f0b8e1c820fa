import {Result} from 'true-myth';

/**
 * The time for which a server asks to be sent no requests, in milliseconds, or the
 * reason why the statement cannot be used.
 */
export type StatedBackoff = Result<number, string>;
