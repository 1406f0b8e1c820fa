/** Request rate limits that backend servers state; they apply to all hosts together. */
export {limitUpdatesSchema} from './limit_updates.js';
export type {LimitUpdates, ReportedLimit} from './limit_updates.js';
export {createLimitMessages} from './limit_messages.js';
export {PERMIT_LIFETIME_MS, PermitSchedule} from './permit_schedule.js';
export type {PermitPlan} from './permit_schedule.js';
export {ServerLimits} from './server_limits.js';
export type {LimitPage, ServerLimitsOptions} from './server_limits.js';
export type {StatedLimit} from './stated_limit.js';
export type {HostPosition} from './host_position.js';
