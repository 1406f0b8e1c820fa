/** Replicas: copies of tables that are updated from the table and from peers. */
export type {GetSequence} from './is_newer_across_eras.js';
export {replicaStateSchema} from './replica_state.js';
export type {ReplicaState} from './replica_state.js';
export {rowChangesSchema} from './row_changes.js';
export type {RowChanges} from './row_changes.js';
export {RowReplica} from './row_replica.js';
export type {
  RowListener,
  RowReplicaOptions,
  TableChanges,
  ForwardPosition,
} from './row_replica.js';
export {versionedRowSchema} from './versioned_row.js';
export type {VersionedRow} from './versioned_row.js';
