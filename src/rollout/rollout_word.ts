import {z} from 'zod';
import {RolloutState} from './rollout.js';
import {versionCountsSchema} from './version_counts.js';

const name = z.string().max(200);
const MAX_COUNTS = 1000;

/** What a host tells whoever holds the duty of a roll-out, and asks for. */
export const rolloutQuestionSchema = z.object({
  kind: z.literal('rollout'),
  service: name,
  /** Number of the order that the host knows. */
  order: z.number().int().min(0),
  /** What it has counted since its start. */
  counts: z.array(versionCountsSchema).max(MAX_COUNTS),
});

/** What every host is to do in a roll-out, as the holder of the duty says. */
export const rolloutWordSchema = z.object({
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
  /** Fence of the holder: word of an earlier holder counts no more. */
  fence: z.number().int().min(0),
});

/** Answer to the question; without a word while there is none. */
export const rolloutAnswerSchema = z.object({
  /** Whether the host asked holds the duty. */
  isHolder: z.boolean(),
  word: rolloutWordSchema.optional(),
});

export type RolloutQuestionMessage = z.output<typeof rolloutQuestionSchema>;
export type RolloutWord = z.output<typeof rolloutWordSchema>;
export type RolloutAnswer = z.output<typeof rolloutAnswerSchema>;
