/** Buying: which hosts to start, where, and on what terms. */
export {decideBuying, getHourlyCost} from './decide_buying.js';
export type {Demand, Holding, Offer, Purchase} from './decide_buying.js';
export {StartBackoff} from './start_backoff.js';
