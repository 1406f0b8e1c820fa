import {z} from 'zod';
import {nameSchema} from './name_schema.js';

const LEAST_URGENT = 7;

const keyHashes = z
  .array(
    z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in lower-case hexadecimal'),
  )
  .min(1);

/** Version 1: an integer "share" in place of a weight. */
export const customerSchemaV1 = z.looseObject({
  schemaVersion: z.literal(1),
  kind: z.literal('customer'),
  name: nameSchema,
  keyHashes,
  share: z.number().int().min(1).default(1),
  extensions: z.record(z.string(), z.unknown()).optional(),
});

/** Version 2: any positive weight, and a limit on urgency. */
export const customerSchemaV2 = z.looseObject({
  schemaVersion: z.literal(2),
  kind: z.literal('customer'),
  name: nameSchema,
  keyHashes,
  weight: z.number().positive().default(1),
  mostUrgent: z.number().int().min(0).max(LEAST_URGENT).default(0),
});

/** Shape of a valid version 1 document. */
export type CustomerV1 = z.output<typeof customerSchemaV1>;
/** Shape of a valid version 2 document. */
export type CustomerV2 = z.output<typeof customerSchemaV2>;
