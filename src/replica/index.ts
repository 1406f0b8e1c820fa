/** Replicas: copies of tables that are updated from the table and from peers. */
export type {GetSequence} from './is_newer_across_eras.js';
export {
  DoubtfulRemovals,
  exportDoubtfulRemovals,
  REMOVAL_GRACE_MS,
} from './doubtful_removals.js';
export type {DoubtfulRemovalsOptions} from './doubtful_removals.js';
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
export type {TableReturn} from './table_return.js';
export {versionedRowSchema} from './versioned_row.js';
export type {VersionedRow} from './versioned_row.js';
