import {z} from 'zod';
import {limitNewsSchema} from '../limits/index.js';
import {suspectNewsSchema} from '../quarantine/index.js';
import {hostAddressSchema} from './host_address.js';
import {newsSchema} from './row_words.js';
import {workSummarySchema} from './work_summary.js';

const MAX_LISTED = 4096;
const name = z.string().min(1).max(200);
const count = z.number().min(0);

/** What a host tells its peers with each heartbeat. */
export const hostReportSchema = z.object({
  address: name,
  /**
   * Hosts it knows, so that word of new ones spreads; empty while the peer has
   * acknowledged the list.
   */
  hosts: z.array(hostAddressSchema).max(MAX_LISTED),
  /** Number of that list; left out by hosts of the release before. */
  hostsVersion: count.default(0),
  /** What its replicas hold. */
  news: newsSchema,
  /** Server, requests in flight there, prompt tokens not yet computed in all. */
  loads: z.array(z.tuple([name, count, count])).max(MAX_LISTED),
  /**
   * Server, a rank of requests there, and their prompt tokens not yet computed;
   * left out by hosts of the release before.
   */
  prefillByRank: z
    .array(z.tuple([name, count, count]))
    .max(MAX_LISTED)
    .default([]),
  /**
   * Server, a shared part of a prompt that it was just sent, and its tokens;
   * left out by hosts of the release before.
   */
  parts: z
    .array(z.tuple([name, name, count]))
    .max(MAX_LISTED)
    .default([]),
  /** Service, and the prompt tokens per second its servers compute for it. */
  prefill: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Customer, and its demand in units per second. */
  demands: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Customer, and the units this start has let through in all. */
  spending: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Window, and the requests of each customer that began in it. */
  usage: z.array(z.tuple([count, z.record(name, count)])).max(MAX_LISTED),
  /** Its time of day less the table's clock, in milliseconds. */
  timeOffsetMs: z.number().optional(),
  /** Whether it holds the duties. */
  holdsDuties: z.boolean(),
  /** Whether it is stopping. */
  stopping: z.boolean(),
  /** Processor share that it has, in cores. */
  capacity: count.optional(),
  /**
   * Whether it wants to be told what all hosts have under way; left out by hosts
   * that hear each of them.
   */
  wantsAll: z.boolean().optional(),
  /** Number of the list of hosts that it was told in reply. */
  membersVersion: count.optional(),
  /** What the hosts of its data centre have under way, where it sums that up. */
  centre: workSummarySchema.optional(),
  /** Requests that end servers; left out while there is none. */
  suspects: suspectNewsSchema.optional(),
  /** Limits that servers name; left out while there is none. */
  limits: limitNewsSchema.optional(),
});

/** Reply to a heartbeat; hosts of the release before send an empty one. */
export const heartbeatReplySchema = z.object({
  hostsVersion: count.optional(),
  /** Number of the list of a data centre's hosts that the sender has. */
  membersVersion: count.optional(),
  /** Version, digest and age of each of the sender's replicas. */
  news: newsSchema.optional(),
  /** What the hosts of the sender's data centre have under way. */
  centre: workSummarySchema.optional(),
  /** What all hosts but the receiver have under way. */
  all: workSummarySchema.optional(),
  /** The table's steady clock when the reply was made, in milliseconds. */
  sharedMs: z.number().optional(),
  /** The usual time of day less that clock, in milliseconds. */
  usualOffsetMs: z.number().optional(),
  /** Requests that end servers; left out while there is none. */
  suspects: suspectNewsSchema.optional(),
  /** Limits that servers name; left out while there is none. */
  limits: limitNewsSchema.optional(),
});

/** What a host tells its peers with each heartbeat. */
export type HostReport = z.output<typeof hostReportSchema>;
/** What of a reply the next heartbeat depends on. */
export const acknowledgementSchema = heartbeatReplySchema.pick({
  hostsVersion: true,
  membersVersion: true,
  suspects: true,
  limits: true,
});

/** What of a reply the next heartbeat depends on. */
export type Acknowledgement = z.output<typeof acknowledgementSchema>;
/** Reply to a heartbeat. */
export type HeartbeatReply = z.output<typeof heartbeatReplySchema>;
