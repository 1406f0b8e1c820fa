import {RequestVerdict} from './judge_request.js';

/** What losses can be grouped by. */
export const LossGroup = {
  CAUSE: 'cause',
  ROUTE: 'route',
  CUSTOMER: 'customer',
  VERSION: 'version',
  DATA_CENTRE: 'data_centre',
  WINDOW: 'window',
} as const;
export type LossGroup = (typeof LossGroup)[keyof typeof LossGroup];

/** Requests of one group by what became of them; they add up to `asked`. */
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
 * Counts what became of requests.
 * @param verdicts - The requests.
 * @param getGroup - Names the group of a request.
 * @returns A row a group, most losses first, and their sum as the last.
 */
export function countLosses(
  verdicts: readonly RequestVerdict[],
  getGroup: (verdict: RequestVerdict) => string,
): LossCount[] {
  const counts = new Map<string, LossCount>();
  let all: LossCount = {group: 'all', ...ZERO};
  for (const verdict of verdicts) {
    const group = getGroup(verdict);
    const count = counts.get(group) ?? {group, ...ZERO};
    counts.set(group, addTo(count, verdict));
    all = addTo(all, verdict);
  }
  const rows = [...counts.values()].sort((a, b) => getLost(b) - getLost(a));
  return [...rows, all];
}

function addTo(count: LossCount, {outcome}: RequestVerdict): LossCount {
  return {...count, asked: count.asked + 1, [outcome]: count[outcome] + 1};
}

function getLost({asked, served}: LossCount): number {
  return asked - served;
}
