import {ClassifiedRequest} from './classify_request.js';

/** Properties by which losses can be grouped. */
export const LossGroup = {
  CAUSE: 'cause',
  ROUTE: 'route',
  CUSTOMER: 'customer',
  VERSION: 'version',
  DATA_CENTRE: 'data_centre',
  WINDOW: 'window',
} as const;
export type LossGroup = (typeof LossGroup)[keyof typeof LossGroup];

/** Number of requests of one group by outcome; the outcomes add up to `asked`. */
export interface LossCount {
  readonly group: string;
  readonly asked: number;
  readonly served: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly unfinished: number;
}

const ZERO = {
  asked: 0,
  served: 0,
  late: 0,
  refused: 0,
  failed: 0,
  unfinished: 0,
};

/**
 * Counts requests by group and outcome.
 * @param requests - Requests to count.
 * @param getGroup - Returns the name of a request's group.
 * @returns One row per group, most losses first, and a last row with the totals.
 */
export function countLosses(
  requests: readonly ClassifiedRequest[],
  getGroup: (request: ClassifiedRequest) => string,
): LossCount[] {
  const counts = new Map<string, LossCount>();
  let all: LossCount = {group: 'all', ...ZERO};
  for (const request of requests) {
    const group = getGroup(request);
    const count = counts.get(group) ?? {group, ...ZERO};
    counts.set(group, addTo(count, request));
    all = addTo(all, request);
  }
  const rows = [...counts.values()].sort((a, b) => countLost(b) - countLost(a));
  return [...rows, all];
}

function addTo(count: LossCount, {outcome}: ClassifiedRequest): LossCount {
  return {...count, asked: count.asked + 1, [outcome]: count[outcome] + 1};
}

function countLost({asked, served}: LossCount): number {
  return asked - served;
}
