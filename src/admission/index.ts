/** Admission: which requests are admitted, and each customer's share. */
export {decideAdmission} from './admission.js';
export type {AdmissionContext} from './admission.js';
export {getFairShare} from './fair_share.js';
export type {CustomerUsage, Weights} from './fair_share.js';
export {UsageCounter} from './usage_counter.js';
export {decideByWait} from './decide_by_wait.js';
export {decidePlace, isContended, PlaceReason} from './decide_place.js';
export type {PlaceContext, PlaceDecision} from './decide_place.js';
export {getPlaceShare} from './place_share.js';
export {PlaceCounter} from './place_counter.js';
export type {PlacesInUse} from './place_counter.js';
export {spreadRetry} from './spread_retry.js';
export type {RetryContext} from './spread_retry.js';
