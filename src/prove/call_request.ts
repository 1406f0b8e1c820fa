import {ExecutionStatus} from '../errors/index.js';
import {
  CallOrder,
  CallOutcome,
  getEntryKey,
  OutcomeKind,
  RecordedAnswer,
} from '../journal/index.js';
import {CallerOutcome} from './history.js';

/** One request of a caller; retries of a call share its key. */
export interface CallRequest {
  readonly key: string;
  /** Unique for every request. */
  readonly instance: string;
  readonly payload: string;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineMs: number;
  readonly respondAsync: boolean;
}

const CUSTOMER = 'north-house';
const DEPLOYMENT = 'bids';

/** Returns the journal entry key for a call's key. */
export function getRequestEntryKey(key: string): string {
  return getEntryKey(CUSTOMER, key);
}

/** Creates the call order that a host receives for a request. */
export function createCallOrder(call: CallRequest): CallOrder {
  const {key, instance, payload, deadlineMs, respondAsync} = call;
  return {
    entryKey: getRequestEntryKey(key),
    requestId: `id-of-${key}`,
    customer: CUSTOMER,
    deployment: DEPLOYMENT,
    fingerprint: payload,
    call: {
      requestId: `id-of-${key}`,
      method: 'POST',
      path: '/bids',
      contentType: 'text/plain',
      body: Buffer.from(payload),
      key,
    },
    deadlineMs,
    respondAsync,
    instance,
    copy: 0,
  };
}

/** Converts a call outcome, or its absence, to what the caller receives. */
export function toCallerOutcome(
  outcome: CallOutcome | undefined,
): CallerOutcome {
  switch (outcome?.kind) {
    case OutcomeKind.ANSWERED:
      return 'answered';
    case OutcomeKind.ACCEPTED:
      return 'accepted';
    case OutcomeKind.FAILED:
      return outcome.problem.ran === ExecutionStatus.NOT_EXECUTED
        ? 'did-not-run'
        : 'unknown';
    case OutcomeKind.MOVED:
      return 'unknown';
    default:
      return 'nothing';
  }
}

/** Decodes the body of a recorded answer as text. */
export function readAnswer(answer: RecordedAnswer): string {
  return Buffer.from(answer.bodyBase64 ?? '', 'base64').toString();
}
