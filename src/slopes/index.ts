/**
 * Measurements for docs/CAPACITY.md: slopes (how costs grow with the size of the system) and
 * benchmarks of a running system.
 */
export {measureDaemon, measureIdleAtCurrentSize} from './measure_daemon.js';
export {measureEventSplitter} from './measure_event_splitter.js';
export {measureLimits} from './measure_limits.js';
export {measureLeaving, measureSlopes} from './measure_slopes.js';
export {measureTransfer} from './measure_transfer.js';
export {SimulatedHosts, SIMULATED_TABLE} from './simulated_hosts.js';
export type {SimulatedHost, SimulatedMessage} from './simulated_hosts.js';
export {measureServerModel} from './measure_server_model.js';
