import {Problem, problems} from '../errors/index.js';
import {Random} from '../random/index.js';
import {exceedsShare} from './exceeds_share.js';
import {getRankLimitMs} from './rank_limit.js';
import {spreadRetry} from './spread_retry.js';

/** Input of the decision to send a stream to a server. */
export interface PlaceContext {
  readonly service: string;
  /** Name of the customer; empty on routes that need no key. */
  readonly customer: string;
  /** Predicted wait until the best server starts with the prompt, in milliseconds. */
  readonly waitMs: number;
  /** Target of the request's route for the time to the first byte, in milliseconds. */
  readonly targetMs: number;
  /** Shortest target of the routes of the service, in milliseconds. */
  readonly shortestTargetMs: number;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Number of ranks of the service that are more urgent than the request. */
  readonly rank: number;
  /** Number of ranks of the service. */
  readonly ranks: number;
  /** Requests in flight at the service, over all customers and hosts. */
  readonly inUse: number;
  /** Requests that the servers of the service can run concurrently; 0 if not known. */
  readonly places: number;
  /** Requests of the customer in flight at the service, over all hosts. */
  readonly inFlight: number;
  /** Fair number of places of the customer. */
  readonly share: number;
}

/** Why a request was admitted or refused, for the log and the metrics. */
export const PlaceReason = {
  /** The predicted wait is within the limit. */
  WITHIN_LIMIT: 'within-limit',
  /** It exceeds the limit, but the rank has not had its minimum part. */
  MINIMUM_PART: 'minimum-part',
  /** The caller's deadline passes before a server can start. */
  HOPELESS: 'hopeless',
  /** The wait exceeds the target of the route. */
  TARGET: 'target',
  /** The wait exceeds the limit of a less urgent rank. */
  RANK: 'rank',
  /** The wait exceeds the limit of a customer over its share. */
  SHARE: 'share',
} as const;
export type PlaceReason = (typeof PlaceReason)[keyof typeof PlaceReason];

/** A decision about a place, with the values that it depends on. */
export interface PlaceDecision {
  readonly reason: PlaceReason;
  /** Longest predicted wait with which the request is admitted, in milliseconds. */
  readonly limitMs: number;
  /** Reason to refuse the request; absent if it is admitted. */
  readonly problem?: Problem;
}

/**
 * Predicted wait from which a service is contended, as a share of its shortest target.
 * Shorter waits leave an urgent request three quarters of its target.
 */
const CONTENDED_WAIT_SHARE = 0.25;
/**
 * Share of the places in use from which a service is contended. The rest takes the
 * requests that arrive before hosts hear of each other's requests.
 */
const CONTENDED_PLACES_SHARE = 0.75;
/**
 * Part of the limit of its rank that a customer over its share has, at most. A request of
 * another customer that waits behind it has half of its target left.
 */
const OVER_SHARE_LIMIT = 0.5;
/** Part of a less urgent rank's requests that is exempt from the rank's lower limit. */
const MINIMUM_PART = 0.1;
const MS_PER_SECOND = 1000;

/** Returns whether requests compete for the places of the service. */
export function isContended(context: PlaceContext): boolean {
  const {waitMs, shortestTargetMs} = context;
  return (
    waitMs > shortestTargetMs * CONTENDED_WAIT_SHARE || usesMostPlaces(context)
  );
}

function usesMostPlaces({inUse, places}: PlaceContext): boolean {
  return places > 0 && inUse > places * CONTENDED_PLACES_SHARE;
}

/**
 * Decides whether to send a new stream to a server, by rank, then by the customer's share.
 *
 * Without contention, a stream is refused only if it cannot start within its target. Under
 * contention, less urgent ranks and customers over their shares are refused at shorter
 * waits, so that the servers' queues stay short for the others. A request of the most
 * urgent rank whose customer is within its share has the limit that it has without
 * contention. A refused request has not been sent.
 * @param context - What is known.
 * @param random - Randomises the minimum part and the retry time.
 */
export function decidePlace(
  context: PlaceContext,
  random: Random,
): PlaceDecision {
  const {waitMs, targetMs, remainingMs} = context;
  if (waitMs >= remainingMs) {
    return refuse(PlaceReason.HOPELESS, remainingMs, context, random);
  }
  if (waitMs > targetMs) {
    return refuse(PlaceReason.TARGET, targetMs, context, random);
  }
  if (!isContended(context)) {
    return {reason: PlaceReason.WITHIN_LIMIT, limitMs: targetMs};
  }
  const rankLimitMs = getRankLimitMs(context);
  const limitMs = rankLimitMs * getShareFactor(context);
  if (limitMs > 0 && waitMs <= limitMs) {
    return {reason: PlaceReason.WITHIN_LIMIT, limitMs};
  }
  if (limitMs < rankLimitMs) {
    return refuse(PlaceReason.SHARE, limitMs, context, random);
  }
  if (random.next() < MINIMUM_PART) {
    return {reason: PlaceReason.MINIMUM_PART, limitMs: targetMs};
  }
  return refuse(PlaceReason.RANK, limitMs, context, random);
}

/** Returns the part of its rank's limit that the customer has; 1 within its share. */
function getShareFactor(context: PlaceContext): number {
  const {inFlight, share} = context;
  if (!exceedsShare(inFlight, share)) {
    return 1;
  }
  return usesMostPlaces(context)
    ? 0
    : OVER_SHARE_LIMIT * Math.min(1, share / inFlight);
}

function refuse(
  reason: PlaceReason,
  limitMs: number,
  context: PlaceContext,
  random: Random,
): PlaceDecision {
  const isOverShare = reason === PlaceReason.SHARE;
  const roomMs = context.waitMs - limitMs;
  const retryMs = spreadRetry({...context, roomMs, isOverShare}, random);
  const problem = createProblem(reason, context, retryMs / MS_PER_SECOND);
  return {reason, limitMs, problem};
}

function createProblem(
  reason: PlaceReason,
  {waitMs, customer, service}: PlaceContext,
  retryS: number,
): Problem {
  switch (reason) {
    case PlaceReason.SHARE:
      return problems.customerOverShare(customer, retryS);
    case PlaceReason.RANK:
      return problems.noRoom(service, retryS);
    default:
      return problems.deadlineUnreachable(waitMs, retryS);
  }
}
