/** Metrics: counters, gauges and HDR histograms. */
export {DurationHistogram} from './duration_histogram.js';
export {Metrics} from './metrics.js';
export type {Labels} from './metrics.js';
