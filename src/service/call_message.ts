import {z} from 'zod';
import {ProblemKind, ExecutionStatus} from '../errors/index.js';
import {CallOrder, CallOutcome, OutcomeKind} from '../journal/index.js';

/** Schema of the message that sends a call to the holder of its book. */
export const callMessageSchema = z.object({
  book: z.string(),
  entryKey: z.string(),
  requestId: z.string(),
  customer: z.string(),
  deployment: z.string(),
  fingerprint: z.string(),
  method: z.string(),
  path: z.string(),
  contentType: z.string(),
  body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
  key: z.string().optional(),
  /** Time left for the answer, in milliseconds; a duration, as clocks of hosts differ. */
  remainingMs: z.number(),
  respondAsync: z.boolean(),
  instance: z.string(),
  copy: z.number().int(),
});

/** Message that sends a call to the holder of its book. */
export type CallMessage = z.output<typeof callMessageSchema>;

const answerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  bodyBase64: z.string().optional(),
});

const problemSchema = z.object({
  kind: z.enum(Object.values(ProblemKind)),
  status: z.number().int(),
  detail: z.string(),
  remedy: z.string(),
  ran: z.enum(Object.values(ExecutionStatus)),
  retryAfterSeconds: z.number().optional(),
  extra: z.record(z.string(), z.unknown()).optional(),
});

/** Schema of the outcome of a call in messages between peers. */
export const callOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(OutcomeKind.ANSWERED),
    answer: answerSchema,
    replayed: z.boolean(),
  }),
  z.object({kind: z.literal(OutcomeKind.ACCEPTED)}),
  z.object({kind: z.literal(OutcomeKind.FAILED), problem: problemSchema}),
  z.object({kind: z.literal(OutcomeKind.MOVED)}),
]);

/**
 * Converts a call to a message.
 * @param book - Name of the book of the call.
 * @param order - The call.
 * @param nowMs - Monotonic time of this host, in milliseconds.
 */
export function toCallMessage(
  book: string,
  order: CallOrder,
  nowMs: number,
): CallMessage {
  const {call, deadlineMs, ...rest} = order;
  return {
    ...rest,
    book,
    method: call.method,
    path: call.path,
    contentType: call.contentType,
    body: call.body,
    ...(call.key === undefined ? {} : {key: call.key}),
    remainingMs: deadlineMs - nowMs,
  };
}

/**
 * Converts a message to a call.
 * @param message - The message.
 * @param nowMs - Monotonic time of this host, in milliseconds.
 */
export function fromCallMessage(
  message: CallMessage,
  nowMs: number,
): CallOrder {
  return {
    entryKey: message.entryKey,
    requestId: message.requestId,
    customer: message.customer,
    deployment: message.deployment,
    fingerprint: message.fingerprint,
    call: {
      requestId: message.requestId,
      method: message.method,
      path: message.path,
      contentType: message.contentType,
      body: message.body,
      ...(message.key === undefined ? {} : {key: message.key}),
    },
    deadlineMs: nowMs + message.remainingMs,
    respondAsync: message.respondAsync,
    instance: message.instance,
    copy: message.copy,
  };
}

/** Parses the outcome of a call from a peer's reply; throws if it is invalid. */
export function readCallOutcome(reply: unknown): CallOutcome {
  return callOutcomeSchema.parse(reply) as CallOutcome;
}
