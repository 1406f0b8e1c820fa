import {z} from 'zod';
import {SuspicionRule} from './suspicion_rule.js';

/** Suspects in one message, at most; the next message goes on. */
export const MAX_TOLD = 200;
const MAX_ENDS = 1000;
const name = z.string().min(1).max(200);
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** A server that ended while it ran a suspect, as hosts tell each other. */
export const toldEndSchema = z.object({
  /** One start of the server. */
  server: name,
  /** See `ServerEnd.level`. */
  level: count,
  ageMs: z.number().min(0),
});

/** What a host tells of one suspect. */
export const toldSuspectSchema = z.object({
  content: name,
  /** See `Suspect.clearedLevel`. */
  clearedLevel: count,
  ends: z.array(toldEndSchema).max(MAX_ENDS),
});

/** What hosts tell each other of suspects, in heartbeats and in replies to them. */
export const suspectNewsSchema = z.object({
  /** The sender's version up to which this tells what it knows. */
  version: count,
  /** The receiver's version up to which the sender has heard. */
  heard: count,
  suspects: z.array(toldSuspectSchema).max(MAX_TOLD),
});

export type ToldEnd = z.output<typeof toldEndSchema>;
export type ToldSuspect = z.output<typeof toldSuspectSchema>;
export type SuspectNews = z.output<typeof suspectNewsSchema>;

/** A server that ended while it ran a suspect. */
export interface ServerEnd {
  /**
   * One more than what was known when the run began: runs that began side by side
   * count as one step, since one fault of the servers can end them all.
   */
  readonly level: number;
  /** Monotonic milliseconds. */
  readonly atMs: number;
}

/** A request, by its content, under which servers have ended. */
export interface Suspect {
  /** Level at which a run began that was answered: ends up to it tell nothing. */
  clearedLevel: number;
  /** By the server's start. */
  readonly ends: Map<string, ServerEnd>;
  /** Version at which it last changed here. */
  version: number;
  /** Whether an end was seen by this host. */
  isOwn: boolean;
  /** When it last changed, monotonic milliseconds. */
  changedMs: number;
  readonly rule: SuspicionRule;
}
