/** Quotas: each customer's rate limit over all hosts, enforced by shares. */
export {Quota} from './quota.js';
export type {Demand} from './demand.js';
export type {QuotaBound, QuotaOptions} from './quota.js';
export type {Spending} from './spending.js';
export type {PastSpending} from './spending_history.js';
export {Bucket} from './bucket.js';
export {DemandMeter} from './demand_meter.js';
export {CountingMode} from './peer_spending.js';
