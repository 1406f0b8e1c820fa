import {z} from 'zod';

/** A row as of one table version; a row without text is removed. */
export const versionedRowSchema = z.object({
  key: z.string(),
  /** Table version at which the row was written or removed. */
  version: z.number().int().min(0),
  text: z.string().optional(),
});

/** A row as of one table version; a row without text is removed. */
export type VersionedRow = z.output<typeof versionedRowSchema>;
