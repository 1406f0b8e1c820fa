import {Clock} from '../time/index.js';
import {LATE_HALF_LIFE_MS} from './model_sums.js';

/** A request without a first byte. */
interface WaitingRequest {
  readonly sentMs: number;
  readonly expectedMs: number;
}

/** By how much the answers of a server are late. */
export interface Lateness {
  /** Time by which its oldest request without an answer is late, in milliseconds. */
  readonly waitingMs: number;
  /** Decayed count of recent answers. */
  readonly count: number;
  /** Sum of their lateness, each as a share of its expected time. */
  readonly shares: number;
}

/** Lateness of a server without requests. */
export const NOT_LATE: Lateness = {waitingMs: 0, count: 0, shares: 0};

/** Delay beyond the expected time that is usual for a single answer. */
const USUAL_DELAY_MS = 30;
/** The same, as a share of the expected time. */
const USUAL_DELAY_SHARE = 0.25;
/** Largest lateness of one answer that counts, as a share of its expected time. */
const MAX_LATE_SHARE = 3;

/** Observes by how much the answers of one server are late now. */
export class LateWatch {
  private readonly waiting = new Set<WaitingRequest>();
  private count = 0;
  private shares = 0;
  private updatedMs = 0;
  /** When the last request was sent whose answer was not late. */
  private inTimeSentMs = 0;

  constructor(private readonly clock: Clock) {}

  /**
   * Adds a request that was sent.
   * @param expectedMs - Time to the first byte that is expected without lateness.
   * @returns A function that ends the wait; its argument is the time to the first byte
   *   in milliseconds, or `undefined` if none arrived.
   */
  add(expectedMs: number): (tookMs: number | undefined) => void {
    const request = {sentMs: this.clock.monotonicMs(), expectedMs};
    this.waiting.add(request);
    return tookMs => {
      if (this.waiting.delete(request) && tookMs !== undefined) {
        this.addAnswer(request, tookMs);
      }
    };
  }

  /** Returns by how much the server is late now, by answers and by waiting requests. */
  getLateness(): Lateness {
    const nowMs = this.clock.monotonicMs();
    const factor = 0.5 ** ((nowMs - this.updatedMs) / LATE_HALF_LIFE_MS);
    let waitingMs = 0;
    let count = this.count * factor;
    let shares = this.shares * factor;
    for (const {sentMs, expectedMs} of this.waiting) {
      const lateMs = getLateMs(nowMs - sentMs, expectedMs);
      // A later request was answered in time, so only this one is delayed.
      if (lateMs > 0 && sentMs >= this.inTimeSentMs) {
        waitingMs = Math.max(waitingMs, lateMs);
        count++;
        shares += toShare(lateMs, expectedMs);
      }
    }
    return {waitingMs, count, shares};
  }

  private addAnswer(
    {sentMs, expectedMs}: WaitingRequest,
    tookMs: number,
  ): void {
    const nowMs = this.clock.monotonicMs();
    const factor = 0.5 ** ((nowMs - this.updatedMs) / LATE_HALF_LIFE_MS);
    const lateMs = getLateMs(tookMs, expectedMs);
    // The answer shows the state of the server since the request was sent, so a request
    // that was sent long ago says less about the state now.
    const weight = 0.5 ** ((nowMs - sentMs) / LATE_HALF_LIFE_MS);
    const share = toShare(lateMs, expectedMs);
    this.count = this.count * factor + weight;
    this.shares = this.shares * factor + weight * share;
    this.updatedMs = nowMs;
    if (lateMs === 0) {
      this.inTimeSentMs = Math.max(this.inTimeSentMs, sentMs);
    }
  }
}

function toShare(lateMs: number, expectedMs: number): number {
  return Math.min(MAX_LATE_SHARE, lateMs / Math.max(1, expectedMs));
}

function getLateMs(tookMs: number, expectedMs: number): number {
  const lateMs = tookMs - expectedMs;
  const usualMs = Math.max(USUAL_DELAY_MS, expectedMs * USUAL_DELAY_SHARE);
  return lateMs > usualMs ? lateMs : 0;
}
