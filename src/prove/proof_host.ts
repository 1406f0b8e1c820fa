import {BookDirectory, Bookkeeper} from '../journal/index.js';
import {OnceCalls} from '../service/index.js';
import {Gate} from './gate.js';

/** One start of one entry host. */
export interface ProofHost {
  readonly name: string;
  readonly incarnation: string;
  readonly gate: Gate;
  readonly bookkeeper: Bookkeeper;
  readonly calls: OnceCalls;
  readonly directory: BookDirectory;
  readonly stop: AbortController;
  leaving: boolean;
  cut: boolean;
  /** Callers' requests being answered. */
  inFlight: number;
}

/** Tells whether a host takes part: it runs, is not leaving, and others reach it. */
export function isLive({gate, leaving, cut}: ProofHost): boolean {
  return gate.isOpen() && !leaving && !cut;
}
