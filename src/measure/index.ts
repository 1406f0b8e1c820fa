/** Measurements of the decisions against baselines, on a virtual clock. */
export {FULL_RATE, listExperiments, runExperiment} from './experiments.js';
export type {Experiment, Policy, PolicyResult} from './experiments.js';
export type {Figures} from './figures.js';
export {formatCurve} from './format_curve.js';
export {measureBuying} from './measure_buying.js';
export {measureRecording} from './measure_recording.js';
