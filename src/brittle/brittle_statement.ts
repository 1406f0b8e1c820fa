import {Result} from 'true-myth';

/**
 * The rejections per second that a brittle server bears, as stated in an answer, or an
 * error if its value cannot be used. The server is brittle in both cases.
 */
export type BrittleStatement = Result<number, string>;
