import {z} from 'zod';
import {hostAddressSchema} from './host_address.js';

/** Entries of one list in a message, at most: ten times what is planned for. */
export const MAX_LISTED = 20_000;
/** Ranks that one server's pending prompts are told apart by, at most. */
const MAX_RANKS = 32;
const name = z.string().min(1).max(200);
const count = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/** What several hosts have under way together, as hosts tell each other. */
export const workSummarySchema = z.object({
  /** Rises with each summary of one start of its sender. */
  sequence: count,
  /**
   * 0 where the sender was told by the hosts and by aggregators; 1 where an
   * aggregator told it all, and it tells it on.
   */
  hops: z.number().int().min(0).max(1).default(0),
  /** Hosts that it stands for. */
  hosts: z.number().int().min(1).max(MAX_LISTED),
  /** Number of the list of these hosts. */
  membersVersion: count,
  /** That list; left out while the peer has acknowledged its number. */
  members: z.array(hostAddressSchema).max(MAX_LISTED).optional(),
  /**
   * Server, requests in flight there, and for each rank its number and the prompt
   * tokens that are not yet computed.
   */
  loads: z
    .array(
      z.tuple([name, count, z.array(z.tuple([count, count])).max(MAX_RANKS)]),
    )
    .max(MAX_LISTED),
  /** Server, a shared part of a prompt that it was just sent, and its tokens. */
  parts: z.array(z.tuple([name, name, count])).max(MAX_LISTED),
  /** Service, and the prompt tokens per second its servers compute for it. */
  prefill: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Customer, and its demand in units per second. */
  demands: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Customer, and the units let through since the sender counts. */
  spending: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Whether one of these hosts holds the duties. */
  holdsDuties: z.boolean(),
});

/** What several hosts have under way together, as hosts tell each other. */
export type WorkSummary = z.output<typeof workSummarySchema>;
