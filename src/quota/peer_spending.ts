import {Spending} from './spending.js';

/** Which reports of an origin are counted. */
export const CountingMode = {
  /** All reports: no other origin reports the same units. */
  ALL: 'all',
  /** All but the first: its units were reported by another origin before. */
  EXCEPT_FIRST: 'later',
  /** No report: another origin currently reports the same units. */
  NONE: 'none',
} as const;
export type CountingMode = (typeof CountingMode)[keyof typeof CountingMode];

/** What one origin has reported about one customer. */
interface ReportedUnits {
  /** Total of the last report. */
  reported: number;
  /** Part of the total that was counted. */
  counted: number;
}

/**
 * Units that other hosts have admitted, as they report themselves. An origin is
 * one incarnation of a reporting host, which may report for several hosts. Its
 * totals only increase, so that a report that is received twice or delayed is
 * not counted twice.
 */
export class PeerSpending {
  private readonly origins = new Map<string, Map<string, ReportedUnits>>();

  /**
   * Records the report of an origin.
   * @param origin - The reporting incarnation.
   * @param spending - Its totals.
   * @param counting - Whether this report is counted.
   * @returns The counted units that were admitted since its last report.
   */
  add(
    origin: string,
    spending: readonly Spending[],
    counting: CountingMode,
  ): Spending[] {
    const hasReported = this.origins.has(origin);
    const counts =
      counting === CountingMode.ALL ||
      (counting === CountingMode.EXCEPT_FIRST && hasReported);
    const customers =
      this.origins.get(origin) ?? new Map<string, ReportedUnits>();
    this.origins.set(origin, customers);
    const counted: Spending[] = [];
    for (const {customer, units} of spending) {
      const known = customers.get(customer) ?? {reported: 0, counted: 0};
      customers.set(customer, known);
      const increase = units - known.reported;
      if (increase <= 0) {
        continue;
      }
      known.reported = units;
      if (counts) {
        known.counted += increase;
        counted.push({customer, units: increase});
      }
    }
    return counted;
  }

  /** Returns whether an origin has reported. */
  has(origin: string): boolean {
    return this.origins.has(origin);
  }

  /** Returns the counted units of one origin, by customer. */
  get(origin: string): Map<string, number> {
    const sums = new Map<string, number>();
    for (const [customer, {counted}] of this.origins.get(origin) ?? []) {
      sums.set(customer, counted);
    }
    return sums;
  }

  /**
   * Sums the counted units of the origins that a function selects, by customer.
   */
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
