/** Proofs of the promises by generated histories on a virtual clock. */
export {PROOFS} from './all_proofs.js';
export type {RunProof} from './all_proofs.js';
export {reportRates} from './fault_rates.js';
export type {ProofOptions, ProofResult} from './proof.js';
