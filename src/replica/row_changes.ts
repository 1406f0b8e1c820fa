import {z} from 'zod';
import {replicaStateSchema} from './replica_state.js';
import {versionedRowSchema} from './versioned_row.js';

/** Maximum number of rows in one message. */
const MAX_ROWS = 10_000;

/** Rows of one replica, as sent to another. */
export const rowChangesSchema = z.object({
  rows: z.array(versionedRowSchema).max(MAX_ROWS),
  /**
   * The rows are all that changed after this version, up to `state.version`; omitted if
   * the rows are the whole table.
   */
  after: z.number().int().min(0).optional(),
  /** State of the sender's replica, these rows included. */
  state: replicaStateSchema,
});

/** Rows of one replica, as sent to another. */
export type RowChanges = z.output<typeof rowChangesSchema>;
