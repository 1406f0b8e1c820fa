/** Attempts: how often one request is sent, for every kind of wire. */
export type {AttemptRules} from './attempt_rules.js';
export {Attempts} from './attempts.js';
