import {z} from 'zod';

/** Schema of the load report of an engine; reports that do not match are rejected. */
export const loadReportSchema = z.object({
  running: z.number().min(0),
  waiting: z.number().min(0),
  capacity: z.number().min(0),
  prefillRate: z.number().positive(),
  decodeMs: z.number().min(0),
  models: z.array(
    z.object({
      name: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
    }),
  ),
});
