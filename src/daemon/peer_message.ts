import {z} from 'zod';
import {bookHandoverSchema, entrySchema} from '../journal/index.js';
import {heartbeatSchema} from '../membership/index.js';
import {callMessageSchema} from '../service/index.js';
import {generationRecordSchema} from './generation_record.js';

/** Schema of all requests between entry hosts. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('heartbeat'), status: heartbeatSchema}),
  z.object({
    kind: z.literal('pull-configuration'),
    after: z.number().int().min(0),
  }),
  z.object({kind: z.literal('run-call'), call: callMessageSchema}),
  z.object({
    kind: z.literal('get-outcome'),
    book: z.string(),
    entryKey: z.string(),
  }),
  z.object({kind: z.literal('take-book'), book: bookHandoverSchema}),
  z.object({
    kind: z.literal('late-outcome'),
    book: z.string(),
    entry: entrySchema,
  }),
  z.object({
    kind: z.literal('take-generation'),
    generation: generationRecordSchema,
  }),
  z.object({
    kind: z.literal('read-generation'),
    id: z.string(),
    customer: z.string(),
    from: z.number().int().min(0),
  }),
  z.object({kind: z.literal('drain'), on: z.boolean()}),
]);

/** A request from one entry host to another. */
export type PeerMessage = z.output<typeof peerMessageSchema>;
