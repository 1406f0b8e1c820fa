import {Customer} from '../configuration/index.js';
import {Problem, problems} from '../errors/index.js';
import {Random} from '../random/index.js';
import {CustomerUsage, getFairShare} from './fair_share.js';

/** What the decision to admit a generation depends on. */
export interface AdmissionQuestion {
  readonly customer: string;
  readonly customers: ReadonlyMap<string, Customer>;
  /** Use of every customer in this data centre. */
  readonly usage: readonly CustomerUsage[];
  /**
   * Generations the servers of the deployment can decode at once; infinite
   * while that is not known.
   */
  readonly capacity: number;
  /** Predicted milliseconds to the first token on the best server. */
  readonly firstTokenMs: number;
  /** First-token target of the deployment, in milliseconds. */
  readonly targetMs: number;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** 0 to 7, smaller is more urgent. */
  readonly urgency: number;
}

/** Longest wait a request of each urgency may be predicted, in targets. */
const PATIENCE_BY_URGENCY = [1.6, 1.3, 1.1, 0.9, 0.8, 0.7, 0.6, 0.5] as const;
/** Share of the places in use from which customers' shares are held. */
const CONTENDED_SHARE = 0.6;
/** Share of the places that is shared out; the rest keeps queues short. */
const SHARED_OUT = 0.75;

/**
 * Decides whether to admit a generation now.
 *
 * What cannot be answered in time is refused at once, with a time to come back
 * that is spread by chance so that the refused do not return together. Less
 * urgent requests are refused at shorter predicted waits, so urgent ones keep
 * their latency when there is too much work.
 * @param question - What is known.
 * @param random - Spreads the times to come back.
 * @returns Why it is refused, or `undefined` to admit it.
 */
export function decideAdmission(
  question: AdmissionQuestion,
  random: Random,
): Problem | undefined {
  const {firstTokenMs, targetMs, remainingMs} = question;
  if (isContended(question) && isOverShare(question)) {
    return problems.customerOverShare(
      question.customer,
      spreadRetry(firstTokenMs, random),
    );
  }
  const patience = PATIENCE_BY_URGENCY[question.urgency] ?? 1;
  const limitMs = Math.min(targetMs * patience, remainingMs);
  if (firstTokenMs > limitMs) {
    return problems.deadlineUnreachable(
      firstTokenMs,
      spreadRetry(firstTokenMs, random),
    );
  }
  return undefined;
}

function isContended(question: AdmissionQuestion): boolean {
  let inUse = 0;
  for (const {inFlight} of question.usage) {
    inUse += inFlight;
  }
  return inUse > question.capacity * CONTENDED_SHARE;
}

function isOverShare(question: AdmissionQuestion): boolean {
  const {customer, customers, usage} = question;
  const shared = question.capacity * SHARED_OUT;
  const share = getFairShare(customer, customers, usage, shared);
  const used = usage.find(entry => entry.customer === customer)?.inFlight ?? 0;
  return used + 1 > Math.max(1, share);
}

/** Spreads the time to come back over one to two predicted waits. */
function spreadRetry(waitMs: number, random: Random): number {
  return Math.max(1, Math.ceil((waitMs / 1000) * (1 + random.next())));
}
