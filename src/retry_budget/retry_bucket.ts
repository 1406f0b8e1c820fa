import {Random} from '../random/index.js';
import {RecentMaximum} from './recent_maximum.js';
import {RetryBudgetState} from './retry_budget_state.js';

/** How a host's retries of one service are earned. */
export interface RetryRates {
  /** Retries that each request earns. */
  readonly perRequest: number;
  /** Retries per request of the last window that may be sent beyond what was earned since. */
  readonly advancePerRequest: number;
  /** Retries that are earned per millisecond without requests. */
  readonly perMs: number;
  /** Retries that may be sent beyond what was earned, without requests. */
  readonly advance: number;
  /** Time from which retries are earned without requests, monotonic milliseconds. */
  readonly earnedSinceMs: number;
  /** Time from which there is an advance without requests, monotonic milliseconds. */
  readonly advanceSinceMs: number;
  /** Window in which requests and retries are counted, in milliseconds. */
  readonly windowMs: number;
}

/**
 * A host's retries of one service. Between any two moments at most a window apart, they exceed
 * what was earned in between by no more than an advance, which depends on the window before
 * the first of these moments. A process has no advance for moments before its start.
 *
 * So the retries of all processes in a window exceed what it earned by no more than the
 * advances at its start. This needs no knowledge of processes that were killed or are still to
 * start: of the processes that share a host's place, one at most has an advance. Unlike the
 * tokens of a bucket, an advance can be used again as soon as its last use is a window ago.
 */
export class RetryBucket {
  /** What was earned, less what was spent. */
  private balance = 0;
  /** The balance beyond the advance, of which the maximum limits what may be spent. */
  private readonly surplus: RecentMaximum;
  private maxSurplus = 0;
  /** Requests of the last window, monotonic milliseconds, oldest first. */
  private readonly requestsMs: number[] = [];
  /** Retries of the last window, monotonic milliseconds, oldest first. */
  private readonly retriesMs: number[] = [];

  /**
   * @param random - Decides on retries where the advance is less than one.
   * @param updatedMs - When the process started, monotonic milliseconds.
   * @param windowMs - Window in which retries are limited, in milliseconds.
   */
  constructor(
    private readonly random: Random,
    private updatedMs: number,
    windowMs: number,
  ) {
    this.surplus = new RecentMaximum(windowMs);
  }

  /** Adds what a request earns. */
  addRequest(nowMs: number, rates: RetryRates): void {
    this.update(nowMs, rates);
    this.requestsMs.push(nowMs);
    this.balance += rates.perRequest;
  }

  /**
   * Takes one retry; returns whether one was available. Where the advance is less than one,
   * each try takes all that is left and succeeds with that probability: on average, the
   * retries of many such hosts are what they may spend.
   */
  take(nowMs: number, rates: RetryRates): boolean {
    this.update(nowMs, rates);
    const left = this.getLeft();
    const isWhole = left >= 1;
    if (!isWhole && this.getAdvance(rates) >= 1) {
      return false;
    }
    const isTaken = isWhole || this.random.next() < left;
    this.balance -= Math.min(left, 1);
    if (isTaken) {
      this.retriesMs.push(nowMs);
    }
    return isTaken;
  }

  /** Returns what may be spent now, and the requests and retries of the last window. */
  getState(
    nowMs: number,
    rates: RetryRates,
  ): Pick<RetryBudgetState, 'left' | 'requests' | 'retries'> {
    this.update(nowMs, rates);
    return {
      left: this.getLeft(),
      requests: this.requestsMs.length,
      retries: this.retriesMs.length,
    };
  }

  private getLeft(): number {
    return Math.max(0, this.balance - this.maxSurplus);
  }

  private getAdvance({advance, advancePerRequest}: RetryRates): number {
    return advance + advancePerRequest * this.requestsMs.length;
  }

  /**
   * Observes the surplus before each change. In between it only rises, as time earns retries
   * and requests leave the window, so that no observation is missed.
   */
  private update(nowMs: number, rates: RetryRates): void {
    const {advanceSinceMs, earnedSinceMs, perMs, windowMs} = rates;
    if (this.updatedMs < advanceSinceMs && advanceSinceMs <= nowMs) {
      this.observe(advanceSinceMs, {...rates, advance: 0});
      this.updatedMs = earnedSinceMs;
    }
    this.balance += Math.max(0, nowMs - this.updatedMs) * perMs;
    this.updatedMs = Math.max(this.updatedMs, nowMs);
    dropBefore(this.retriesMs, nowMs - windowMs);
    this.observe(nowMs, rates);
  }

  private observe(nowMs: number, rates: RetryRates): void {
    dropBefore(this.requestsMs, nowMs - rates.windowMs);
    const surplus = this.balance - this.getAdvance(rates);
    this.maxSurplus = this.surplus.add(surplus, nowMs);
  }
}

function dropBefore(timesMs: number[], oldestMs: number): void {
  let count = 0;
  while (count < timesMs.length && (timesMs[count] ?? 0) < oldestMs) {
    count++;
  }
  timesMs.splice(0, count);
}
