import {Random} from '../random/index.js';

/** Input of the choice of a retry time. */
export interface RetryContext {
  /** Time until room for the request is expected, in milliseconds. */
  readonly roomMs: number;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Target for the time to the first byte, in milliseconds. */
  readonly targetMs: number;
  /** Number of ranks of the service that are more urgent than the request. */
  readonly rank: number;
  /** Number of ranks of the service. */
  readonly ranks: number;
  /** Whether the customer uses more than its share. */
  readonly isOverShare: boolean;
}

/** Minimum time until room is expected, in milliseconds; it limits retries in a loop. */
const MIN_ROOM_MS = 100;
/** Part of the time left for which callers wait before a retry; they return then anyway. */
const MAX_REMAINING_SHARE = 1 / 3;
/**
 * Parts of the target for which callers of the most urgent and of other ranks wait. A later
 * return could hardly be in time. Other ranks are admitted at shorter waits only, so that
 * they start soon after their return.
 */
const MAX_URGENT_TARGET_SHARE = 0.5;
const MAX_TARGET_SHARE = 0.75;

/**
 * Chooses when a refused caller returns. Callers retry once only. The most urgent rank
 * returns within one to two times the time until room is expected. The time from there
 * to the latest useful return is divided among the other ranks in their order. Each rank
 * is spread evenly over its part; customers over their share return in its second half.
 * @returns The retry time, in milliseconds.
 */
export function spreadRetry(context: RetryContext, random: Random): number {
  const {remainingMs, targetMs, rank, isOverShare} = context;
  const roomMs = Math.max(MIN_ROOM_MS, context.roomMs);
  const latestMs = Math.max(
    MIN_ROOM_MS,
    Math.min(
      remainingMs * MAX_REMAINING_SHARE,
      targetMs * (rank === 0 ? MAX_URGENT_TARGET_SHARE : MAX_TARGET_SHARE),
    ),
  );
  const urgentEndMs = Math.min(2 * roomMs, latestMs);
  const others = Math.max(1, context.ranks - 1);
  const partMs = (latestMs - urgentEndMs) / others;
  const endMs = urgentEndMs + Math.min(rank, others) * partMs;
  const beginMs = rank === 0 ? Math.min(roomMs, latestMs / 2) : endMs - partMs;
  // Where no time is left between the ranks, less urgent ones are spread as well.
  const fromMs = Math.min(beginMs, endMs / 2 + (rank > 0 ? endMs / 4 : 0));
  const position = isOverShare ? (1 + random.next()) / 2 : random.next();
  return fromMs + (endMs - fromMs) * position;
}
