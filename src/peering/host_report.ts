import {z} from 'zod';
import {leavingUpdatesSchema} from '../fleet/index.js';
import {limitUpdatesSchema} from '../limits/index.js';
import {suspectUpdatesSchema} from '../quarantine/index.js';
import {modelSectionSchema} from '../server_model/index.js';
import {hostAddressSchema} from './host_address.js';
import {replicaStatesSchema} from './row_messages.js';
import {workSummarySchema} from './work_summary.js';

const MAX_LISTED = 4096;
const name = z.string().min(1).max(200);
const count = z.number().min(0);

/** Report that a host sends its peers with each heartbeat. */
export const hostReportSchema = z.object({
  address: name,
  /** See `hostAddressSchema`. */
  forwardingAddress: name.optional(),
  /**
   * Hosts that the sender knows, so that new ones become known everywhere; empty if the
   * peer has acknowledged the list.
   */
  hosts: z.array(hostAddressSchema).max(MAX_LISTED),
  /** Version of that list; omitted by hosts of the previous release. */
  hostsVersion: count.default(0),
  /** State of the sender's replicas, by name. */
  news: replicaStatesSchema,
  /** Server, requests in flight there, total prompt tokens not yet computed. */
  loads: z.array(z.tuple([name, count, count])).max(MAX_LISTED),
  /**
   * Server, a rank of requests there, and their prompt tokens not yet computed;
   * omitted by hosts of the previous release.
   */
  prefillByRank: z
    .array(z.tuple([name, count, count]))
    .max(MAX_LISTED)
    .default([]),
  /**
   * Server, a shared part of a prompt that was just sent there, and its tokens;
   * omitted by hosts of the previous release.
   */
  parts: z
    .array(z.tuple([name, name, count]))
    .max(MAX_LISTED)
    .default([]),
  /** Service, and the prompt tokens per second that its servers compute for the sender. */
  prefill: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Customer, and its demand at the sender in units per second. */
  demands: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /**
   * Service, customer, and its requests in flight; the customer is empty on routes that
   * need no key. Omitted while there are none, and by hosts of the previous release.
   */
  places: z
    .array(z.tuple([name, z.string().max(200), count]))
    .max(MAX_LISTED)
    .optional(),
  /** Customer, and the units that this incarnation has admitted in total. */
  spending: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Window, and the requests that began in it, by customer. */
  usage: z.array(z.tuple([count, z.record(name, count)])).max(MAX_LISTED),
  /** The sender's wall-clock time minus the table's clock, in milliseconds. */
  timeOffsetMs: z.number().optional(),
  /** Whether the sender holds the duties. */
  holdsDuties: z.boolean(),
  /** Whether the sender is stopping. */
  stopping: z.boolean(),
  /** Processor capacity of the sender, in cores. */
  capacity: count.optional(),
  /**
   * Whether the sender requests the summary of the work of all hosts; omitted by hosts
   * that receive each host's own report.
   */
  wantsAll: z.boolean().optional(),
  /** Version of the last list of hosts received in a reply, to acknowledge it. */
  membersVersion: count.optional(),
  /** Summary of the work of the data centre's hosts, if the sender aggregates it. */
  centre: workSummarySchema.optional(),
  /** Requests suspected of terminating servers; omitted while there are none. */
  suspects: suspectUpdatesSchema.optional(),
  /** Limits that servers report; omitted while there are none. */
  limits: limitUpdatesSchema.optional(),
  /** Servers that have stated that they leave; omitted while there are none. */
  leaving: leavingUpdatesSchema.optional(),
  /**
   * Sums of the sender's observations of servers; omitted by hosts that do not learn from
   * them. An invalid section is ignored, not the report.
   */
  model: modelSectionSchema.optional().catch(undefined),
});

/** Reply to a heartbeat; hosts of the previous release send an empty one. */
export const heartbeatReplySchema = z.object({
  hostsVersion: count.optional(),
  /** Version of the list of a data centre's hosts that the sender has. */
  membersVersion: count.optional(),
  /** Version, digest and age of each of the sender's replicas. */
  news: replicaStatesSchema.optional(),
  /** Summary of the work of the hosts of the sender's data centre. */
  centre: workSummarySchema.optional(),
  /** Summary of the work of all hosts except the receiver. */
  all: workSummarySchema.optional(),
  /** The table's monotonic clock when the reply was created, in milliseconds. */
  sharedMs: z.number().optional(),
  /** The usual wall-clock time minus that clock, in milliseconds. */
  usualOffsetMs: z.number().optional(),
  /** Requests suspected of terminating servers; omitted while there are none. */
  suspects: suspectUpdatesSchema.optional(),
  /** Limits that servers report; omitted while there are none. */
  limits: limitUpdatesSchema.optional(),
  /** Servers that have stated that they leave; omitted while there are none. */
  leaving: leavingUpdatesSchema.optional(),
});

/** Report that a host sends its peers with each heartbeat. */
export type HostReport = z.output<typeof hostReportSchema>;
/** The part of a reply on which the next heartbeat depends. */
export const acknowledgementSchema = heartbeatReplySchema.pick({
  hostsVersion: true,
  membersVersion: true,
  suspects: true,
  limits: true,
  leaving: true,
});

/** The part of a reply on which the next heartbeat depends. */
export type Acknowledgement = z.output<typeof acknowledgementSchema>;
/** Reply to a heartbeat. */
export type HeartbeatReply = z.output<typeof heartbeatReplySchema>;
