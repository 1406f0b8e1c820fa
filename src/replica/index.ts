/** Replicas: copies of tables that are fed by the table and by peers. */
export {replicaStateSchema} from './replica_state.js';
export type {ReplicaState} from './replica_state.js';
export {rowChangesSchema} from './row_changes.js';
export type {RowChanges} from './row_changes.js';
export {RowReplica} from './row_replica.js';
export type {
  RowListener,
  RowReplicaOptions,
  TableChanges,
  ToldState,
} from './row_replica.js';
export {versionedRowSchema} from './versioned_row.js';
export type {VersionedRow} from './versioned_row.js';
