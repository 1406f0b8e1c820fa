import {z} from 'zod';
import {rowChangesSchema} from '../replica/index.js';
import {MAX_CONTENT_BYTES, SEGMENT_BYTES} from './limits.js';

const MAX_NAME_LENGTH = 200;
const MAX_LONG_ROWS = 10_000;
const hash = z.string().max(MAX_NAME_LENGTH);
const segment = z.custom<Uint8Array>(
  data => data instanceof Uint8Array && data.length <= SEGMENT_BYTES,
);

/** What a host understands in the reply to its request for rows. */
export const bulkAbilitySchema = z.object({
  /** Hashes of the long texts that the host holds, by key of the row. */
  holds: z.record(z.string(), hash),
});

/** What a host understands in the reply to its request for rows. */
export type BulkAbility = z.output<typeof bulkAbilitySchema>;

/** A row whose text is sent encoded. */
export const longRowSchema = z.object({
  key: z.string(),
  version: z.number().int().min(0),
  /** Hash of the text. */
  hash,
  /** Hash of the text that the content is a difference from; absent for a whole text. */
  base: hash.optional(),
  /** Identifies the content in requests for its segments. */
  content: z.string().max(MAX_NAME_LENGTH),
  /** Size of the content. */
  bytes: z.number().int().min(1).max(MAX_CONTENT_BYTES),
  /** The content, if it fits into a segment. */
  data: segment.optional(),
});

/** A row whose text is sent encoded. */
export type LongRow = z.output<typeof longRowSchema>;

/** Rows of one replica, the long ones encoded. */
export const bulkChangesSchema = rowChangesSchema.extend({
  long: z.array(longRowSchema).max(MAX_LONG_ROWS).optional(),
});

/** Rows of one replica, the long ones encoded. */
export type BulkChanges = z.output<typeof bulkChangesSchema>;

/** Requests a segment of a content. */
export const segmentRequestSchema = z.object({
  kind: z.literal('segment'),
  content: z.string().max(MAX_NAME_LENGTH),
  offset: z.number().int().min(0),
});

/** Requests a segment of a content. */
export type SegmentRequest = z.output<typeof segmentRequestSchema>;

/** Reply to a request for a segment; empty if the sender no longer has the content. */
export const segmentReplySchema = z.object({
  data: segment.optional(),
  /** Time after which to ask again, in milliseconds; the sender's link is busy. */
  waitMs: z.number().min(0).optional(),
});

/** Reply to a request for a segment. */
export type SegmentReply = z.output<typeof segmentReplySchema>;
