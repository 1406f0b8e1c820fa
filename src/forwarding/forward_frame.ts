import {z} from 'zod';
import {Repeat} from '../catalog/index.js';
import {ExecutionStatus, ProblemKind} from '../errors/index.js';
import {
  isHeaderName,
  isHeaderValue,
  isRequestTarget,
} from '../headers/index.js';

const MAX_NAME_LENGTH = 200;
const MAX_LISTED = 4096;
/** Statuses of final responses. */
const FINAL_FIRST = 200;
const STATUS_LAST = 999;
const name = z.string().max(MAX_NAME_LENGTH);
const count = z.number().min(0);
const headerValue = z.string().refine(isHeaderValue);
const rawHeaders = z
  .array(z.tuple([z.string().refine(isHeaderName), headerValue]).readonly())
  .max(MAX_LISTED);

/**
 * Head of a forwarded request; the body follows it. It carries what the first host has
 * decided, since this host may not have the same configuration: customer, route, service.
 */
export const forwardRequestSchema = z.object({
  /** Host that received the request from its caller. */
  from: name.min(1),
  id: name.min(1).refine(isHeaderValue),
  method: name.min(1).refine(isHeaderName),
  path: z.string().refine(isRequestTarget),
  headers: rawHeaders,
  route: z.object({
    name: z.string(),
    repeat: z.enum(Repeat),
    streaming: z.boolean(),
    timeoutMs: count,
    targetMs: count,
    gapTargetMs: count,
    urgency: count,
  }),
  service: name.min(1),
  /** Customer whose key the first host has verified, and its urgency rank. */
  customer: z
    .object({name: name.refine(isHeaderValue), urgency: count.optional()})
    .optional(),
  prompt: z.object({
    /** Id and tokens of each part. */
    parts: z.array(z.tuple([z.string(), count])).max(MAX_LISTED),
    tokensIn: count,
    tokensOut: count,
  }),
  /** Time since the request arrived at the first host, in milliseconds. */
  elapsedMs: count,
  /** Time until the deadline, in milliseconds. */
  remainingMs: count,
  lastEventId: headerValue.optional(),
  /** Version at which a stream that goes on began; absent if the stream begins. */
  boundVersion: z.string().optional(),
  /** Ids of the servers that must not get the request again. */
  excluded: z.array(name).max(MAX_LISTED),
});

/** Head of a forwarded request. */
export type ForwardRequest = z.output<typeof forwardRequestSchema>;

/** Why a host does not take a forwarded request; nothing of it was sent to a server. */
export const DeclineReason = {
  /** It does not reach the servers either. */
  UNREACHABLE: 'unreachable',
  /** It has no free slot at the brittle servers of the service. */
  NO_SLOT: 'no-slot',
  /** It has no capacity to spare for other hosts. */
  BUSY: 'busy',
  STOPPING: 'stopping',
  /** The message does not come from a peer, or it cannot be read. */
  INVALID: 'invalid',
} as const;
export type DeclineReason = (typeof DeclineReason)[keyof typeof DeclineReason];

const problemSchema = z.object({
  kind: z.enum(ProblemKind),
  status: z.number().int().min(FINAL_FIRST).max(STATUS_LAST),
  detail: z.string(),
  remedy: z.string(),
  ran: z.enum(ExecutionStatus),
  retryAfterSeconds: count.optional(),
});

/** Head of the response to a forwarded request. */
export const forwardResponseSchema = z.discriminatedUnion('outcome', [
  z.object({
    /** A server has answered; the body of its answer follows. */
    outcome: z.literal('answered'),
    status: z.number().int().min(FINAL_FIRST).max(STATUS_LAST),
    headers: rawHeaders,
    /** Id of the server. */
    server: name,
    /** Version of its software; omitted by hosts of the previous release. */
    version: z.string().optional(),
  }),
  z.object({
    /** No answer of a server can be passed on. */
    outcome: z.literal('refused'),
    problem: problemSchema,
    /** Id of the last server to which the request was sent; empty if there was none. */
    server: name,
    /**
     * Whether a server has rejected the request, so that the first host may try another one;
     * omitted by hosts of the previous release, which try others themselves.
     */
    rejected: z.boolean().optional(),
  }),
  z.object({
    /** Another host can be tried. */
    outcome: z.literal('declined'),
    reason: z.enum(DeclineReason),
  }),
]);

/** Head of the response to a forwarded request. */
export type ForwardResponse = z.output<typeof forwardResponseSchema>;
