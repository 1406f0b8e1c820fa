import {z} from 'zod';
import {replicaStateSchema} from './replica_state.js';
import {versionedRowSchema} from './versioned_row.js';

/** Rows in one message, at most. */
const MAX_ROWS = 10_000;

/** Rows of one replica, as told to another. */
export const rowChangesSchema = z.object({
  rows: z.array(versionedRowSchema).max(MAX_ROWS),
  /**
   * Version after which these are all that changed up to `state.version`; left out
   * where they are the whole table.
   */
  after: z.number().int().min(0).optional(),
  /** What the teller holds with them. */
  state: replicaStateSchema,
});

/** Rows of one replica, as told to another. */
export type RowChanges = z.output<typeof rowChangesSchema>;
