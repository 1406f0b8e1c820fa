/** Slopes and benches that docs/CAPACITY.md works with. */
export {measureDaemon, measureToday} from './measure_daemon.js';
export {measureLimits} from './measure_limits.js';
export {measureLeaving, measureSlopes} from './measure_slopes.js';
