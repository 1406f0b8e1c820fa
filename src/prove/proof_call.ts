import {Ran} from '../errors/index.js';
import {
  CallOrder,
  CallOutcome,
  getEntryKey,
  OutcomeKind,
  RecordedAnswer,
} from '../journal/index.js';
import {Told} from './history.js';

/** One sending of a call. */
export interface ProofCall {
  readonly key: string;
  /** Differs for every sending. */
  readonly instance: string;
  readonly payload: string;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly respondAsync: boolean;
}

const CUSTOMER = 'north-house';
const DEPLOYMENT = 'bids';

/** Returns the key of the entry that a call's key makes. */
export function getProofEntryKey(key: string): string {
  return getEntryKey(CUSTOMER, key);
}

/** Makes the order that a host gets for a call. */
export function createProofOrder(call: ProofCall): CallOrder {
  const {key, instance, payload, deadlineMs, respondAsync} = call;
  return {
    entryKey: getProofEntryKey(key),
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

/** Returns what an outcome tells its caller. */
export function toTold(outcome: CallOutcome | undefined): Told {
  switch (outcome?.kind) {
    case OutcomeKind.ANSWERED:
      return 'answered';
    case OutcomeKind.ACCEPTED:
      return 'accepted';
    case OutcomeKind.FAILED:
      return outcome.problem.ran === Ran.NO ? 'did-not-run' : 'unknown';
    case OutcomeKind.MOVED:
      return 'unknown';
    default:
      return 'nothing';
  }
}

/** Returns the body of an answer. */
export function readAnswer(answer: RecordedAnswer): string {
  return Buffer.from(answer.bodyBase64 ?? '', 'base64').toString();
}
