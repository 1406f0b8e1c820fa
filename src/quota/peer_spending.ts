import {Spending} from './spending.js';

/** Which of an origin's words count. */
export const Counting = {
  /** All of them: it is heard of by nobody else. */
  ALL: 'all',
  /** All but the first: what it tells of was told by another before. */
  LATER: 'later',
  /** None: what it tells of is told by another now. */
  NONE: 'none',
} as const;
export type Counting = (typeof Counting)[keyof typeof Counting];

/** What one origin has told of one customer. */
interface ToldUnits {
  /** Units it told last. */
  told: number;
  /** Units of these that were counted here. */
  counted: number;
}

/**
 * What the starts of other hosts have let through, by their own word. Sums only
 * rise, so that word that comes twice or late counts nothing twice.
 */
export class PeerSpending {
  private readonly origins = new Map<string, Map<string, ToldUnits>>();

  /**
   * Takes in what an origin told.
   * @param origin - Who counted.
   * @param spending - Its sums.
   * @param counting - Whether this word counts.
   * @returns What was let through since its last word.
   */
  add(
    origin: string,
    spending: readonly Spending[],
    counting: Counting,
  ): Spending[] {
    const isLater = this.origins.has(origin);
    const counts =
      counting === Counting.ALL || (counting === Counting.LATER && isLater);
    const customers = this.origins.get(origin) ?? new Map<string, ToldUnits>();
    this.origins.set(origin, customers);
    const counted: Spending[] = [];
    for (const {customer, units} of spending) {
      const known = customers.get(customer) ?? {told: 0, counted: 0};
      customers.set(customer, known);
      const more = units - known.told;
      if (more <= 0) {
        continue;
      }
      known.told = units;
      if (counts) {
        known.counted += more;
        counted.push({customer, units: more});
      }
    }
    return counted;
  }

  /** Returns what was counted of one origin, by customer. */
  get(origin: string): Map<string, number> {
    const sums = new Map<string, number>();
    for (const [customer, {counted}] of this.origins.get(origin) ?? []) {
      sums.set(customer, counted);
    }
    return sums;
  }

  /** Sums what was counted of origins that a function picks, by customer. */
  sum(picks: (origin: string) => boolean): Map<string, number> {
    const sums = new Map<string, number>();
    for (const [origin, customers] of this.origins) {
      if (!picks(origin)) {
        continue;
      }
      for (const [customer, {counted}] of customers) {
        sums.set(customer, (sums.get(customer) ?? 0) + counted);
      }
    }
    return sums;
  }
}
