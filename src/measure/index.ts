/** Comparisons of the system's decisions with baselines, on a virtual clock. */
export {FULL_RATE, listExperiments, runExperiment} from './experiments.js';
export type {Experiment, Policy, PolicyResult} from './experiments.js';
export type {Figures} from './figures.js';
export {formatCurve} from './format_curve.js';
export {measureBuying} from './measure_buying.js';
export {EmulatedServer} from './emulated_server.js';
export type {EmulatedRun} from './emulated_server.js';
export {measureReuse} from './measure_reuse.js';
export {measureRecording} from './measure_recording.js';
