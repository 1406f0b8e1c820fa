import {Clock} from '../time/index.js';

/** Retries added to the budget per request. */
const RETRIES_PER_REQUEST = 0.1;
/**
 * Retries added per second regardless of load, so that a host with few requests
 * can retry.
 */
const RETRIES_PER_SECOND = 2;
const MAX_BALANCE = 50;

/**
 * Limits retries to a share of the requests, so that retries cannot multiply
 * the load.
 */
export class RetryBudget {
  private balance = MAX_BALANCE / 5;
  private refilledMs: number;

  constructor(private readonly clock: Clock) {
    this.refilledMs = clock.monotonicMs();
  }

  /** Counts a first attempt. */
  addRequest(): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the budget; returns whether one was available. */
  spend(): boolean {
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.refilledMs) / 1000) * RETRIES_PER_SECOND;
    this.balance = Math.min(MAX_BALANCE, this.balance + earned);
    this.refilledMs = nowMs;
    if (this.balance < 1) {
      return false;
    }
    this.balance--;
    return true;
  }
}
