/** Attempts: how often one request is sent, whatever the protocol. */
export type {AttemptRules} from './attempt_rules.js';
export {Attempts} from './attempts.js';
