import {z} from 'zod';
import {ProblemKind, Ran} from '../errors/index.js';
import {CallOrder, CallOutcome, OutcomeKind} from '../journal/index.js';

/** A call on its way to the holder of its book, as peers exchange it. */
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
  /** Time left for the answer, in milliseconds: clocks are not compared. */
  remainingMs: z.number(),
  respondAsync: z.boolean(),
  instance: z.string(),
  copy: z.number().int(),
});

/** A call on its way to the holder of its book. */
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
  ran: z.enum(Object.values(Ran)),
  retryAfterSeconds: z.number().optional(),
  extra: z.record(z.string(), z.unknown()).optional(),
});

/** What came of a call, as peers exchange it. */
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
 * Writes a call as a message.
 * @param book - Book it belongs to.
 * @param order - The call.
 * @param nowMs - Monotonic time.
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
 * Reads a call from a message.
 * @param message - The message.
 * @param nowMs - Monotonic time.
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

/** Reads an outcome from a peer's reply; throws on anything else. */
export function readCallOutcome(reply: unknown): CallOutcome {
  return callOutcomeSchema.parse(reply) as CallOutcome;
}
