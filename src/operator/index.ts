/** The interface for operators: records, status, draining. */
export {InForce} from './in_force.js';
export type {InForceReport} from './in_force.js';
export {createOpenApi} from './openapi.js';
export {OperatorApi} from './operator_api.js';
export type {OperatorApiOptions} from './operator_api.js';
export {RecordChanges} from './record_changes.js';
export type {ChangeOrder, RecordChangesOptions} from './record_changes.js';
export type {
  CentreLine,
  HostLine,
  ServerLine,
  SystemStatus,
} from './system_status.js';
