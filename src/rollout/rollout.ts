import {z} from 'zod';

/** How far a roll-out is, as operators are told. */
export const RolloutState = {
  RUNNING: 'running',
  COMPLETED: 'completed',
  ROLLED_BACK: 'rolled_back',
} as const;
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** A roll-out as the table keeps it. */
export const rolloutSchema = z.object({
  service: z.string().min(1),
  /** Number of the order; see `RolloutOrder`. */
  order: z.number().int().min(0),
  /** Version that served before. */
  from: z.string(),
  to: z.string().min(1),
  durationMs: z.number().positive(),
  /** When it was begun, on the table's clock, in milliseconds. */
  startedMs: z.number(),
  /** When all requests went to the new version; absent before. */
  shiftedMs: z.number().optional(),
  state: z.enum([
    RolloutState.RUNNING,
    RolloutState.COMPLETED,
    RolloutState.ROLLED_BACK,
  ]),
});

/** A roll-out as the table keeps it. */
export type Rollout = z.output<typeof rolloutSchema>;

/** Tells whether nothing more changes in a roll-out. */
export function isFinal({state}: {readonly state: RolloutState}): boolean {
  return state !== RolloutState.RUNNING;
}
