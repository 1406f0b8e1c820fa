/** Limits that backend servers name: requests a second from all hosts together. */
export {ServerLimits} from './server_limits.js';
export type {ServerLimitsOptions} from './server_limits.js';
export type {StatedLimit} from './stated_limit.js';
