import {z} from 'zod';

/** Summary of a replica's rows: its version and digest, and optionally its age. */
export const replicaStateSchema = z.object({
  /** Table version up to which every change of significant content is merged. */
  version: z.number().int().min(0),
  /** See `RowDigest`. */
  digest: z.number().int().min(0),
  /**
   * Time since the rows were last known to match the table, in milliseconds; omitted
   * if unknown.
   */
  ageMs: z.number().min(0).optional(),
});

/** Summary of a replica's rows: its version and digest, and optionally its age. */
export type ReplicaState = z.output<typeof replicaStateSchema>;
