import {z} from 'zod';
import {changeUpdatesSchema} from '../changes/index.js';
import {SuspicionRule} from './suspicion_rule.js';

/** Maximum number of suspects in one message; the next message carries the rest. */
export const MAX_SUSPECTS_PER_MESSAGE = 200;
const MAX_TERMINATIONS = 1000;
const name = z.string().min(1).max(200);
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** A server that terminated while it ran a suspect, as hosts report it. */
export const reportedTerminationSchema = z.object({
  /** Incarnation of the server. */
  server: name,
  /** See `ServerTermination.level`. */
  level: count,
  ageMs: z.number().min(0),
});

/** One suspect as a host reports it. */
export const reportedSuspectSchema = z.object({
  content: name,
  /** See `Suspect.clearedLevel`. */
  clearedLevel: count,
  ends: z.array(reportedTerminationSchema).max(MAX_TERMINATIONS),
});

/** Suspect updates that hosts exchange in heartbeats and in replies to them. */
export const suspectUpdatesSchema = changeUpdatesSchema.extend({
  suspects: z.array(reportedSuspectSchema).max(MAX_SUSPECTS_PER_MESSAGE),
});

export type ReportedTermination = z.output<typeof reportedTerminationSchema>;
export type ReportedSuspect = z.output<typeof reportedSuspectSchema>;
export type SuspectUpdates = z.output<typeof suspectUpdatesSchema>;

/** A server that terminated while it ran a suspect. */
export interface ServerTermination {
  /**
   * One more than the level that was known when the run began. Runs that began
   * concurrently count as one step, since one fault of the servers can end them all.
   */
  readonly level: number;
  /** Time of the termination, monotonic milliseconds. */
  readonly atMs: number;
}

/** A request, identified by its content, or a sender, under which servers terminated. */
export interface Suspect {
  /** Level at which an answered run began; terminations up to this level don't count. */
  clearedLevel: number;
  /** By server incarnation. */
  readonly ends: Map<string, ServerTermination>;
  /** Version of its last change at this host. */
  version: number;
  /** Whether this host observed a termination itself. */
  isObservedHere: boolean;
  /** When it last changed, monotonic milliseconds. */
  changedMs: number;
  readonly rule: SuspicionRule;
}

/** Returns the highest level of a suspect's terminations, or that at which it was cleared. */
export function readLevel({
  clearedLevel,
  ends,
}: {
  readonly clearedLevel: number;
  readonly ends: ReadonlyMap<string, ServerTermination>;
}): number {
  let level = clearedLevel;
  for (const end of ends.values()) {
    level = Math.max(level, end.level);
  }
  return level;
}
