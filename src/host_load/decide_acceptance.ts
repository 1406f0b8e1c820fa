/** Load of this host as it counts for accepting a request. */
export interface HostLoadFigures {
  /** Whether requests wait in this host because it does not keep up. */
  readonly isOverloaded: boolean;
  /**
   * Expected time from accepting a request until it is sent to a server, as far as this
   * host's load causes it, in milliseconds; 0 if not overloaded.
   */
  readonly ownDelayMs: number;
  /** Share of the processor capacity in use; absent without a measurement. */
  readonly processorShare?: number;
}

/** A request whose head has arrived. */
export interface ArrivingRequest {
  /** Rank of its route; 0 is the most urgent. */
  readonly rank: number;
  /** Latency target in milliseconds. */
  readonly targetMs: number;
  /** Time until its deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Time since its estimated arrival, in milliseconds. */
  readonly waitedMs: number;
  /** Whether its customer sends more than its share of this host's requests. */
  readonly isAboveShare: boolean;
}

/** Reasons to refuse a request at an overloaded host. */
export const RefusalReason = {
  /** The deadline passes before it can be sent to a server. */
  DEADLINE: 'deadline',
  /** It would wait here for too much of its target. */
  TARGET: 'target',
  /** Its customer is above its share of this host's requests. */
  SHARE: 'share',
  /** The delay exceeds the limit of its rank. */
  RANK: 'rank',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/**
 * Part of its target for which a request may wait in this host. The rest is needed by the
 * server: plain servers answered after 86 ms (median) of a target of 200 ms.
 */
const OWN_SHARE_OF_TARGET = 0.5;
/**
 * Largest own delay by rank with which requests are accepted, in milliseconds. That of the
 * most urgent rank is half of the tightest target (200 ms). The others leave processor time
 * to more urgent requests, and refusals themselves must not wait for long.
 */
const LIMITS_MS = [100, 75, 50] as const;
/** Ranks by which a request of a customer above its share is less urgent. */
const ABOVE_SHARE_RANKS = 1;
/**
 * Share of the processor below which this host keeps up although its event loop is late: a
 * burst of a few requests takes a small host 100 ms and more, and is over then.
 */
const BOTTLENECK_SHARE = 0.85;
/** Share of the processor from which a queue does not drain by itself. */
const FULL_PROCESSOR_SHARE = 0.95;
/** Factor for the limits while the processor is fully used. */
const FULL_PROCESSOR_FACTOR = 0.75;

/**
 * Decides whether this host accepts a request, by its own load. What cannot be in time is
 * refused first, then requests of customers above their shares and of less urgent ranks.
 * @returns The reason to refuse it; `undefined` to accept it.
 */
export function decideAcceptance(
  load: HostLoadFigures,
  request: ArrivingRequest,
): RefusalReason | undefined {
  const {isOverloaded, ownDelayMs} = load;
  const {rank, targetMs, remainingMs, waitedMs, isAboveShare} = request;
  if (remainingMs <= ownDelayMs) {
    return RefusalReason.DEADLINE;
  }
  if (!isOverloaded || !isBottleneck(load)) {
    return undefined;
  }
  if (waitedMs + ownDelayMs > targetMs * OWN_SHARE_OF_TARGET) {
    return RefusalReason.TARGET;
  }
  if (ownDelayMs > getLimitMs(load, rank)) {
    return RefusalReason.RANK;
  }
  const isBeyondShare =
    isAboveShare && ownDelayMs > getLimitMs(load, rank + ABOVE_SHARE_RANKS);
  return isBeyondShare ? RefusalReason.SHARE : undefined;
}

function isBottleneck({processorShare}: HostLoadFigures): boolean {
  return processorShare === undefined || processorShare >= BOTTLENECK_SHARE;
}

function getLimitMs({processorShare = 0}: HostLoadFigures, rank: number) {
  const index = Math.min(rank, LIMITS_MS.length - 1);
  const factor =
    processorShare >= FULL_PROCESSOR_SHARE ? FULL_PROCESSOR_FACTOR : 1;
  return (LIMITS_MS[index] ?? 0) * factor;
}
