/** Admission: which requests are admitted, and each customer's share. */
export {decideAdmission} from './admission.js';
export type {AdmissionContext} from './admission.js';
export {getFairShare} from './fair_share.js';
export type {CustomerUsage} from './fair_share.js';
export {UsageCounter} from './usage_counter.js';
export {decideByWait} from './decide_by_wait.js';
