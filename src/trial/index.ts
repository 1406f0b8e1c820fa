/** Trials: complete small systems that run as separate processes on one machine. */
export {getProgramPath, TrialProcess} from './trial_process.js';
export {findFreePorts} from './find_free_ports.js';
export {TrialCaller} from './trial_caller.js';
export type {CallResult, StreamResult} from './trial_caller.js';
export {OPERATOR_KEY, TrialSystem} from './trial_system.js';
export type {
  RunningHost,
  RunningServer,
  TrialPlan,
  TrialServer,
} from './trial_system.js';
