import {
  acceptedSurvives,
  atMostOnce,
  ownAnswers,
  refusalsAreTrue,
  stopsCutNothing,
} from './call_proofs.js';
import {configurationHolds} from './configuration_proof.js';
import {leasesExclude} from './lease_simulation.js';
import {leavingGetsNothing} from './leaving_simulation.js';
import {prove, ProofOptions, ProofResult} from './proof.js';
import {reclaimCutsNothing, wholeStreams} from './stream_proofs.js';

/** Checks one promise against generated schedules. */
export type RunProof = (options: ProofOptions) => Promise<ProofResult>;

/** Every promise that is checked by generated histories, by name. */
export const PROOFS: ReadonlyMap<string, RunProof> = new Map<string, RunProof>([
  [atMostOnce.name, options => prove(atMostOnce, options)],
  [refusalsAreTrue.name, options => prove(refusalsAreTrue, options)],
  [ownAnswers.name, options => prove(ownAnswers, options)],
  [acceptedSurvives.name, options => prove(acceptedSurvives, options)],
  [stopsCutNothing.name, options => prove(stopsCutNothing, options)],
  [wholeStreams.name, options => prove(wholeStreams, options)],
  [reclaimCutsNothing.name, options => prove(reclaimCutsNothing, options)],
  [configurationHolds.name, options => prove(configurationHolds, options)],
  [leavingGetsNothing.name, options => prove(leavingGetsNothing, options)],
  [leasesExclude.name, options => prove(leasesExclude, options)],
]);
