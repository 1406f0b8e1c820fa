import {z} from 'zod';

/** State of a rollout as reported to operators. */
export const RolloutState = {
  RUNNING: 'running',
  COMPLETED: 'completed',
  ROLLED_BACK: 'rolled_back',
} as const;
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** A rollout as stored in the table. */
export const rolloutSchema = z.object({
  service: z.string().min(1),
  /** Number of the order; see `RolloutOrder`. */
  order: z.number().int().min(0),
  /** Version that serves before the rollout. */
  from: z.string(),
  to: z.string().min(1),
  durationMs: z.number().positive(),
  /** Start time on the table's clock, in milliseconds. */
  startedMs: z.number(),
  /** Time from which all requests go to the new version; absent before. */
  shiftedMs: z.number().optional(),
  state: z.enum([
    RolloutState.RUNNING,
    RolloutState.COMPLETED,
    RolloutState.ROLLED_BACK,
  ]),
});

/** A rollout as stored in the table. */
export type Rollout = z.output<typeof rolloutSchema>;

/** Returns whether a rollout has ended and does not change any more. */
export function isFinal({state}: {readonly state: RolloutState}): boolean {
  return state !== RolloutState.RUNNING;
}
