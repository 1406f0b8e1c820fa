import {z} from 'zod';

const id = z.number().int().min(0);

/** Frames after the handshake: requests, and what comes back for them. */
export const envelopeSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('request'), id, body: z.unknown()}),
  z.object({kind: z.literal('part'), id, body: z.unknown()}),
  z.object({kind: z.literal('reply'), id, body: z.unknown()}),
  z.object({kind: z.literal('failure'), id, detail: z.string()}),
  z.object({kind: z.literal('cancel'), id}),
]);

/** Frames after the handshake. */
export type Envelope = z.output<typeof envelopeSchema>;
