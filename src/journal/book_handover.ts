import {z} from 'zod';
import {EntryState} from './entry.js';

/** Schema of an entry received from a peer. */
export const entrySchema = z.object({
  key: z.string(),
  requestId: z.string(),
  deployment: z.string(),
  fingerprint: z.string(),
  attempt: z.string(),
  ended: z.array(z.string()).readonly().optional(),
  state: z.enum(Object.values(EntryState)),
  atMs: z.number(),
  answer: z
    .object({
      status: z.number().int(),
      contentType: z.string(),
      bodyBase64: z.string().optional(),
    })
    .optional(),
  call: z
    .object({
      method: z.string(),
      path: z.string(),
      contentType: z.string(),
      bodyBase64: z.string(),
    })
    .optional(),
});

/** Schema of the message that hands a book over to another host. */
export const bookHandoverSchema = z.object({
  /** Incarnation of the host that hands the book over. */
  from: z.string(),
  position: z.object({
    book: z.string(),
    fence: z.number().int(),
    sequence: z.number().int(),
    version: z.number().int(),
  }),
  entries: z.array(entrySchema),
  batches: z.array(z.object({sequence: z.number().int(), atMs: z.number()})),
});

/** Message that hands a book over to another host. */
export type BookHandover = z.output<typeof bookHandoverSchema>;
