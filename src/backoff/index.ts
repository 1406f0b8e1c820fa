/** Backoffs: times for which servers have asked this host to send them no requests. */
export {ServerBackoffs} from './server_backoffs.js';
export type {AttemptReport, ServerBackoffsOptions} from './server_backoffs.js';
export type {StatedBackoff} from './stated_backoff.js';
