/** Comparisons of the system's decisions with baselines, on a virtual clock. */
export {
  FULL_RATE_PER_S,
  listExperiments,
  runExperiment,
} from './experiments.js';
export type {Experiment, Policy, PolicyResult} from './experiments.js';
export type {Figures} from './figures.js';
export {formatCurve} from './format_curve.js';
export {measureProvisioning} from './measure_provisioning.js';
export {EmulatedServer} from './emulated_server.js';
export type {EmulatedRun} from './emulated_server.js';
export {measurePlaces} from './measure_places.js';
export {bursts, flood, PlaceLoad, usualRate} from './place_load.js';
export type {PlaceRate} from './place_load.js';
export {measureReuse} from './measure_reuse.js';
export {measureRecording} from './measure_recording.js';
