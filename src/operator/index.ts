/** The operators' interface: configuration records, status, drain of hosts. */
export {InForceMonitor} from './in_force_monitor.js';
export type {InForceReport} from './in_force_monitor.js';
export {createOpenApi} from './openapi.js';
export {OperatorApi} from './operator_api.js';
export type {OperatorApiOptions} from './operator_api.js';
export {RecordChanges} from './record_changes.js';
export type {ChangeRequest, RecordChangesOptions} from './record_changes.js';
export type {
  DataCentreSummary,
  HostSummary,
  ServerSummary,
  SystemStatus,
} from './system_status.js';
