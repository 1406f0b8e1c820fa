import {z} from 'zod';
import {MAX_NAME_LENGTH} from './stream_origins.js';

/** Streams in one message; the next message carries the rest. */
export const MAX_TOLD_STREAMS = 500;
const name = z.string().max(MAX_NAME_LENGTH);

/** Tells another host which streams have begun. */
export const originsSchema = z.object({
  kind: z.literal('origins'),
  /** Id of the request that brought the first event, service and version. */
  streams: z.array(z.tuple([name, name, name])).max(MAX_TOLD_STREAMS),
});

/** Asks another host for the origin of a stream. */
export const originQuestionSchema = z.object({
  kind: z.literal('origin'),
  /** Id of the request that brought the first event; empty if the caller names none. */
  id: name,
  /** Service that serves the stream if its origin is not known. */
  service: name,
  /** Whether the host is to ask those of other data centres, too. */
  asksOthers: z.boolean(),
});

/** Reply to that question; empty if the host does not know the origin. */
export const originReplySchema = z.object({
  origin: z.object({service: name, version: name}).optional(),
});

export type Origins = z.output<typeof originsSchema>;
export type OriginQuestion = z.output<typeof originQuestionSchema>;
export type OriginReply = z.output<typeof originReplySchema>;
