import {Clock} from '../time/index.js';

/**
 * Limits this host to its share of the table's writes (token bucket).
 *
 * While writes are rare, each is sent at once. Under load, writes are delayed, and
 * the entries that queue up meanwhile are committed together.
 */
export class CommitBudget {
  private tokens: number;
  private refilledMs: number;

  /**
   * @param getRate - Returns the writes per second that this host may use now.
   * @param clock - Clock by which the bucket is refilled.
   */
  constructor(
    private readonly getRate: () => number,
    private readonly clock: Clock,
  ) {
    this.tokens = getRate();
    this.refilledMs = clock.monotonicMs();
  }

  /** Takes one write from the budget and waits until it may be sent. */
  async spend(): Promise<void> {
    this.refill();
    this.tokens--;
    if (this.tokens < 0) {
      await this.clock.sleep((-this.tokens * 1000) / this.getRate());
    }
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    const rate = this.getRate();
    const earned = ((nowMs - this.refilledMs) * rate) / 1000;
    this.tokens = Math.min(rate, this.tokens + earned);
    this.refilledMs = nowMs;
  }
}
