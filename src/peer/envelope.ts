import {z} from 'zod';

const id = z.number().int().min(0);

/** Schema of the frames after the handshake: requests, their responses and cancellations. */
export const envelopeSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('request'), id, body: z.unknown()}),
  z.object({kind: z.literal('part'), id, body: z.unknown()}),
  z.object({kind: z.literal('reply'), id, body: z.unknown()}),
  z.object({kind: z.literal('failure'), id, detail: z.string()}),
  z.object({kind: z.literal('cancel'), id}),
]);

/** A frame after the handshake. `id` identifies a request among those of its sender. */
export type Envelope = z.output<typeof envelopeSchema>;
