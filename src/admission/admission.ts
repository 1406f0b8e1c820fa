import {Customer} from '../configuration/index.js';
import {Problem, problems} from '../errors/index.js';
import {Random} from '../random/index.js';
import {CustomerUsage, getFairShare} from './fair_share.js';

/** Input of the decision to admit a generation. */
export interface AdmissionContext {
  readonly customer: string;
  readonly customers: ReadonlyMap<string, Customer>;
  /** Requests in flight of every customer in this data centre. */
  readonly usage: readonly CustomerUsage[];
  /**
   * Number of generations that the servers of the deployment can decode
   * concurrently; infinite while it is not known.
   */
  readonly capacity: number;
  /** Predicted time to the first token on the best server, in milliseconds. */
  readonly firstTokenMs: number;
  /** First-token target of the deployment, in milliseconds. */
  readonly targetMs: number;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** 0 to 7; smaller is more urgent. */
  readonly urgency: number;
}

/**
 * Longest predicted time to the first token with which a request of each
 * urgency is admitted, in multiples of the first-token target.
 */
const MAX_WAIT_TARGETS_BY_URGENCY = [
  1.6, 1.3, 1.1, 0.9, 0.8, 0.7, 0.6, 0.5,
] as const;
/**
 * Share of the capacity in use above which customers are limited to their
 * shares.
 */
const CONTENTION_SHARE = 0.6;
/**
 * Share of the capacity that is divided among customers; the rest keeps queues
 * short.
 */
const ALLOCATED_SHARE = 0.75;

/**
 * Decides whether to admit a generation now.
 *
 * A request that cannot be answered in time is refused at once. Its retry time
 * is randomised, so that refused callers do not all return at the same time.
 * Less urgent requests are refused at shorter predicted waits, so that urgent
 * ones keep their latency under overload.
 * @param context - What is known.
 * @param random - Randomises the retry time.
 * @returns Why it is refused, or `undefined` to admit it.
 */
export function decideAdmission(
  context: AdmissionContext,
  random: Random,
): Problem | undefined {
  const {firstTokenMs, targetMs, remainingMs} = context;
  if (isContended(context) && isOverShare(context)) {
    return problems.customerOverShare(
      context.customer,
      spreadRetry(firstTokenMs, random),
    );
  }
  const maxWaitTargets = MAX_WAIT_TARGETS_BY_URGENCY[context.urgency] ?? 1;
  const limitMs = Math.min(targetMs * maxWaitTargets, remainingMs);
  if (firstTokenMs > limitMs) {
    return problems.deadlineUnreachable(
      firstTokenMs,
      spreadRetry(firstTokenMs, random),
    );
  }
  return undefined;
}

function isContended(context: AdmissionContext): boolean {
  let inUse = 0;
  for (const {inFlight} of context.usage) {
    inUse += inFlight;
  }
  return inUse > context.capacity * CONTENTION_SHARE;
}

function isOverShare(context: AdmissionContext): boolean {
  const {customer, customers, usage} = context;
  const shared = context.capacity * ALLOCATED_SHARE;
  const share = getFairShare(customer, customers, usage, shared);
  const used = usage.find(entry => entry.customer === customer)?.inFlight ?? 0;
  return used + 1 > Math.max(1, share);
}

/** Returns a random retry time of one to two predicted waits, in seconds. */
function spreadRetry(waitMs: number, random: Random): number {
  return Math.max(1, Math.ceil((waitMs / 1000) * (1 + random.next())));
}
