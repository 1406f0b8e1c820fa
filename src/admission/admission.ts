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
  /** Generations the servers of the deployment can decode at once. */
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
const PATIENCE_BY_URGENCY = [4, 3.5, 3, 2.5, 2, 1.5, 1.2, 1] as const;
/** Share of the target at which customers' shares begin to be held. */
const CONTENDED_SHARE = 0.5;
/** Over-commitment allowed against a share, since usage is known with a lag. */
const SHARE_SLACK = 1.1;

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
  const contended = firstTokenMs > targetMs * CONTENDED_SHARE;
  if (contended && isOverShare(question)) {
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

function isOverShare(question: AdmissionQuestion): boolean {
  const {customer, customers, usage, capacity} = question;
  const share = getFairShare(customer, customers, usage, capacity);
  const used = usage.find(entry => entry.customer === customer)?.inFlight ?? 0;
  return used + 1 > Math.max(1, share * SHARE_SLACK);
}

/** Spreads the time to come back over one to two predicted waits. */
function spreadRetry(waitMs: number, random: Random): number {
  return Math.max(1, Math.ceil((waitMs / 1000) * (1 + random.next())));
}
