/** Request rate limits that backend servers state; they apply to all hosts together. */
export {limitNewsSchema} from './limit_updates.js';
export type {LimitUpdates, ReportedLimit} from './limit_updates.js';
export {createLimitWords} from './limit_words.js';
export {PERMIT_LIFETIME_MS, PermitSchedule} from './permit_schedule.js';
export type {PermitPlan} from './permit_schedule.js';
export {ServerLimits} from './server_limits.js';
export type {LimitPage, ServerLimitsOptions} from './server_limits.js';
export type {StatedLimit} from './stated_limit.js';
export type {Turn} from './turn.js';
