import {z} from 'zod';
import {RolloutState} from './rollout.js';
import {versionCountsSchema} from './version_counts.js';

const name = z.string().max(200);
const MAX_COUNTS = 1000;

/** Schema of the report of a host to the holder of the duty, which requests a directive. */
export const rolloutReportSchema = z.object({
  kind: z.literal('rollout'),
  service: name,
  /** Number of the latest order that the host knows for the service. */
  order: z.number().int().min(0),
  /** Cumulative counts of the host for the service. */
  counts: z.array(versionCountsSchema).max(MAX_COUNTS),
});

/** Schema of the directive of the holder of the duty to all hosts in a rollout. */
export const rolloutDirectiveSchema = z.object({
  service: name,
  order: z.number().int().min(0),
  from: name,
  to: name,
  state: z.enum([
    RolloutState.RUNNING,
    RolloutState.COMPLETED,
    RolloutState.ROLLED_BACK,
  ]),
  /** Share of the requests that go to the new version. */
  share: z.number().min(0).max(1),
  /** Fence of the holder; directives of an earlier holder are no longer valid. */
  fence: z.number().int().min(0),
});

/** Schema of the reply to a report; without a directive while there is none. */
export const rolloutReplySchema = z.object({
  /** Whether the replying host holds the duty. */
  isHolder: z.boolean(),
  word: rolloutDirectiveSchema.optional(),
});

export type RolloutReport = z.output<typeof rolloutReportSchema>;
export type RolloutDirective = z.output<typeof rolloutDirectiveSchema>;
export type RolloutReply = z.output<typeof rolloutReplySchema>;
