import {z} from 'zod';
import {modelSectionSchema} from '../server_model/index.js';
import {hostAddressSchema} from './host_address.js';

/** Maximum length of a list in a message: ten times the planned length. */
export const MAX_LISTED = 20_000;
/** Maximum number of ranks of the pending prompts of one server. */
const MAX_RANKS = 32;
const name = z.string().min(1).max(200);
const count = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/** Summary of the work in progress of several hosts, as sent between hosts. */
export const workSummarySchema = z.object({
  /** Increases with each summary of one incarnation of the sender. */
  sequence: count,
  /**
   * 0 if the sender summed the reports of hosts and the summaries of data centres; 1 if
   * it forwards a summary of all hosts that an aggregator sent.
   */
  hops: z.number().int().min(0).max(1).default(0),
  /** Number of hosts that the summary covers. */
  hosts: z.number().int().min(1).max(MAX_LISTED),
  /** Version of the list of these hosts. */
  membersVersion: count,
  /** That list; omitted if the peer has acknowledged its version. */
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
  /** Server, a shared part of a prompt that was just sent there, and its tokens. */
  parts: z.array(z.tuple([name, name, count])).max(MAX_LISTED),
  /** Service, and the prompt tokens per second that its servers compute for the hosts. */
  prefill: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Customer, and its demand in units per second. */
  demands: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /** Service, customer, and its requests in flight; omitted by the previous release. */
  places: z
    .array(z.tuple([name, z.string().max(200), count]))
    .max(MAX_LISTED)
    .optional(),
  /** Customer, and the units admitted since the sender began to count. */
  spending: z.array(z.tuple([name, count])).max(MAX_LISTED),
  /**
   * Sums of the hosts' observations of servers; omitted if none are learned from. An
   * invalid section is ignored, not the summary.
   */
  model: modelSectionSchema.optional().catch(undefined),
  /** Whether one of these hosts holds the duties. */
  holdsDuties: z.boolean(),
});

/** Summary of the work in progress of several hosts, as sent between hosts. */
export type WorkSummary = z.output<typeof workSummarySchema>;
