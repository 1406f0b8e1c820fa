/**
 * Explains, from the logs of hosts, what happened to requests and why some were lost,
 * that is, not answered in time.
 */
export {parseLogLine} from './log_line.js';
export type {LogLine} from './log_line.js';
export {RequestHistories} from './request_histories.js';
export {classifyRequest} from './classify_request.js';
export type {ClassifiedRequest} from './classify_request.js';
export {countLosses, LossGroup} from './count_losses.js';
export type {LossCount} from './count_losses.js';
export type {RequestHistory} from './request_history.js';
