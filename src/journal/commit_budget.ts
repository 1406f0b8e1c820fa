import {Clock} from '../time/index.js';

/**
 * Spends this host's share of the table's writes (token bucket).
 *
 * While writes are rare each goes out at once; when they are many, those that
 * wait are committed together.
 */
export class CommitBudget {
  private tokens: number;
  private refilledMs: number;

  /**
   * @param getRate - Returns the writes per second this host may use now.
   * @param clock - Measures the refill.
   */
  constructor(
    private readonly getRate: () => number,
    private readonly clock: Clock,
  ) {
    this.tokens = getRate();
    this.refilledMs = clock.monotonicMs();
  }

  /** Waits until a write may be sent, and counts it. */
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
