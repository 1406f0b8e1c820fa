/**
 * Property-based tests of the system's promises: generated schedules of
 * operations and faults, run on a virtual clock.
 */
export {PROOFS} from './all_proofs.js';
export type {RunProof} from './all_proofs.js';
export {reportRates} from './fault_rates.js';
export type {ProofOptions, ProofResult} from './proof.js';
