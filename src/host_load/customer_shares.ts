import {Clock} from '../time/index.js';

/** Requests of one customer. */
interface CustomerCount {
  readonly weight: number;
  current: number;
  previous: number;
}

/**
 * Period in which requests are counted, in milliseconds; the previous one counts as well.
 * A host with few requests per second needs this long for a meaningful count.
 */
const PERIOD_MS = 2000;
/** Excess over the share that is tolerated, as small counts vary by chance. */
const TOLERANCE = 1.25;
/** Requests below which no customer is above its share. */
const MIN_REQUESTS = 8;

/** Counts the requests of customers at this host, and compares them with their shares. */
export class CustomerShares {
  private readonly counts = new Map<string, CustomerCount>();
  private periodStartMs: number;

  constructor(private readonly clock: Clock) {
    this.periodStartMs = clock.monotonicMs();
  }

  /**
   * Counts a request that arrived, accepted or not.
   * @param customer - Name of the customer.
   * @param weight - Weight of the customer's share; above 0.
   */
  add(customer: string, weight: number): void {
    this.rotate();
    const known = this.counts.get(customer);
    const count = known ?? {weight, current: 0, previous: 0};
    count.current++;
    this.counts.set(customer, count);
  }

  /** Returns whether a customer sends more than its share of this host's requests. */
  isAboveShare(customer: string): boolean {
    const count = this.counts.get(customer);
    if (count === undefined || this.counts.size < 2) {
      return false;
    }
    let total = 0;
    let weights = 0;
    for (const {current, previous, weight} of this.counts.values()) {
      total += current + previous;
      weights += weight;
    }
    const share = (total * count.weight) / weights;
    return (
      total >= MIN_REQUESTS &&
      count.current + count.previous > share * TOLERANCE
    );
  }

  private rotate(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.periodStartMs < PERIOD_MS) {
      return;
    }
    const isPreviousOver = nowMs - this.periodStartMs >= 2 * PERIOD_MS;
    this.periodStartMs = nowMs;
    for (const [customer, count] of this.counts) {
      count.previous = isPreviousOver ? 0 : count.current;
      count.current = 0;
      if (count.previous === 0) {
        this.counts.delete(customer);
      }
    }
  }
}
