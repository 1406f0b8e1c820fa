/** Input of the limit of a rank. */
export interface RankLimitContext {
  /** Target of the request's route, in milliseconds. */
  readonly targetMs: number;
  /** Shortest target of the routes of the service, in milliseconds. */
  readonly shortestTargetMs: number;
  /** Number of ranks of the service that are more urgent than the request. */
  readonly rank: number;
  /** Requests in flight at the service, over all customers and hosts. */
  readonly inUse: number;
  /** Requests that the servers of the service can run concurrently; 0 if not known. */
  readonly places: number;
}

/**
 * Longest predicted wait of each rank under contention, in multiples of the shortest
 * target. The queue that the second rank may build leaves an urgent request a quarter of
 * its target, and that of the third rank half of it.
 */
const LIMIT_TARGETS_BY_RANK = [1, 0.75, 0.5, 0.4] as const;
const LAST_LIMIT_TARGETS = 0.3;
/**
 * Places that each rank leaves to more urgent ones, in multiples of the square root of the
 * number of places, which is about how much the requests in flight vary by chance. Once all
 * slots are taken, an urgent request waits for the end of an answer, however short the
 * queue is.
 */
const LEFT_PLACES_BY_RANK = [0, 0.25, 1] as const;
const LAST_LEFT_PLACES = 1.5;

/**
 * Returns the longest predicted wait with which a rank is admitted under contention, in
 * milliseconds. A less urgent rank with a longer target must not queue for that long
 * before urgent requests, so its limit depends on the shortest target of the service.
 */
export function getRankLimitMs(context: RankLimitContext): number {
  const {targetMs, shortestTargetMs, rank, inUse, places} = context;
  if (rank === 0) {
    return targetMs;
  }
  const left = LEFT_PLACES_BY_RANK[rank] ?? LAST_LEFT_PLACES;
  if (places > 0 && inUse >= places - left * Math.sqrt(places)) {
    return 0;
  }
  const targets = LIMIT_TARGETS_BY_RANK[rank] ?? LAST_LIMIT_TARGETS;
  return Math.min(targetMs, shortestTargetMs * targets);
}
