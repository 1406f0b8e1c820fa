import {z} from 'zod';

/** What a replica holds, in two numbers. */
export const replicaStateSchema = z.object({
  /** Version of the table up to which every change in substance is merged. */
  version: z.number().int().min(0),
  /** See `RowDigest`. */
  digest: z.number().int().min(0),
  /**
   * Time since the rows were last known to match the table, in milliseconds; left
   * out if unknown.
   */
  ageMs: z.number().min(0).optional(),
});

/** What a replica holds, in two numbers. */
export type ReplicaState = z.output<typeof replicaStateSchema>;
