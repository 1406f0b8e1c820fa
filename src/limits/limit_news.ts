import {z} from 'zod';

/** Limits in one message, at most; the next message goes on. */
export const MAX_TOLD = 200;
/** Longest name of a server's start: that of its entry, and the time of the start. */
const MAX_NAME = 300;
const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);

/** What a host tells of one server's limit. */
export const toldLimitSchema = z.object({
  /** Start of the server. */
  server: z.string().min(1).max(MAX_NAME),
  /** Requests a second; left out where the server names none any more. */
  perSecond: z.number().min(0).optional(),
  /** Rises with each change; the higher one is the later. */
  revision: count,
  /** Time since the answer that it is from, in milliseconds. */
  ageMs: z.number().min(0),
});

/** What hosts tell each other of limits, in heartbeats and in replies to them. */
export const limitNewsSchema = z.object({
  /** The sender's version up to which this tells what it knows. */
  version: count,
  /** The receiver's version up to which the sender has heard. */
  heard: count,
  limits: z.array(toldLimitSchema).max(MAX_TOLD),
});

export type ToldLimit = z.output<typeof toldLimitSchema>;
export type LimitNews = z.output<typeof limitNewsSchema>;
