import {Clock} from '../time/index.js';

/** Retries earned per request. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries earned per second whatever the load, so that a quiet host can retry. */
const RETRIES_PER_SECOND = 2;
const MAX_SAVED = 50;

/** Limits retries to a share of the requests, so that they cannot multiply load. */
export class RetryBudget {
  private saved = MAX_SAVED / 5;
  private refilledMs: number;

  constructor(private readonly clock: Clock) {
    this.refilledMs = clock.monotonicMs();
  }

  /** Counts a first attempt. */
  addRequest(): void {
    this.saved = Math.min(MAX_SAVED, this.saved + RETRIES_PER_REQUEST);
  }

  /** Spends one retry; returns whether there was one. */
  spend(): boolean {
    const nowMs = this.clock.monotonicMs();
    const earned = ((nowMs - this.refilledMs) / 1000) * RETRIES_PER_SECOND;
    this.saved = Math.min(MAX_SAVED, this.saved + earned);
    this.refilledMs = nowMs;
    if (this.saved < 1) {
      return false;
    }
    this.saved--;
    return true;
  }
}
