/** Limits that backend servers name: requests a second from all hosts together. */
export {limitNewsSchema} from './limit_news.js';
export type {LimitNews, ToldLimit} from './limit_news.js';
export {createLimitWords} from './limit_words.js';
export {PERMIT_LIFE_MS, PermitSchedule} from './permit_schedule.js';
export type {PermitPlan} from './permit_schedule.js';
export {ServerLimits} from './server_limits.js';
export type {LimitPage, ServerLimitsOptions} from './server_limits.js';
export type {StatedLimit} from './stated_limit.js';
export type {Turn} from './turn.js';
