import {Clock} from '../time/index.js';
import {LoopDelayMeter} from './loop_delay_meter.js';
import {UnsentRequests} from './unsent_requests.js';

/** Dependencies of an `OverloadState`. */
export interface OverloadStateOptions {
  readonly clock: Clock;
  readonly meter: Pick<LoopDelayMeter, 'getStandingMs' | 'isBusy'>;
  readonly unsent: Pick<UnsentRequests, 'count' | 'countSent'>;
}

/**
 * Time without a standing queue after which an overload is over, in milliseconds. Refusals
 * shorten the queue below what can be measured while callers still send too much: with
 * 1000 ms, overloads were noticed again and again at 1.2 to 1.5 times the capacity.
 */
const HOLD_MS = 2000;
/** Time over which the time per sent request is measured, in milliseconds. */
const WINDOW_MS = 150;
/**
 * Requests sent within a measurement, unless it takes `MAX_WINDOW_MS`: at the start of an
 * overload, few are sent at first, since many heads are read before.
 */
const MIN_SENT = 5;
const MAX_WINDOW_MS = 1000;
/** Weight of one request in the mean error of the expected delay. */
const ERROR_WEIGHT = 0.05;
/** Bounds of the error by which the expected delay is corrected. */
const MIN_ERROR = 1;
const MAX_ERROR = 3;
/** Expected delay below which an error says nothing, in milliseconds. */
const MIN_EXPECTED_MS = 10;
/** Weight of the newest measurement of the time per sent request. */
const NEWEST_WEIGHT = 0.5;

/** Tells whether this host is overloaded, and how long accepted requests wait in it. */
export class OverloadState {
  /** Start of the overload; absent if there is none. */
  private sinceMs: number | undefined;
  private standingMs = 0;
  private lastStandingMs = 0;
  /**
   * Time between requests sent while the event loop was never idle, in milliseconds: then
   * the host sends as fast as it can.
   */
  private perSendMs = 0;
  private windowStartMs: number | undefined;
  /** Mean of the actual delays, as a multiple of the expected ones. */
  private error = 1;
  private sentAtWindowStart = 0;

  constructor(private readonly options: OverloadStateOptions) {}

  /** Updates the state; to be called after each measurement of the event loop's delay. */
  update(): void {
    const {clock, meter} = this.options;
    const nowMs = clock.monotonicMs();
    this.standingMs = meter.getStandingMs();
    if (meter.isBusy()) {
      this.measureSending(nowMs);
    } else {
      this.windowStartMs = undefined;
    }
    if (this.standingMs > 0) {
      this.sinceMs ??= nowMs;
      this.lastStandingMs = nowMs;
    } else if (nowMs - this.lastStandingMs >= HOLD_MS) {
      this.sinceMs = undefined;
    }
  }

  /** Returns whether this host is overloaded. */
  isOverloaded(): boolean {
    return this.sinceMs !== undefined;
  }

  /** Returns the duration of the overload so far, in milliseconds; 0 without one. */
  getDurationMs(): number {
    const nowMs = this.options.clock.monotonicMs();
    return nowMs - (this.sinceMs ?? nowMs);
  }

  /**
   * Returns how long a request that is accepted now is expected to wait until it is sent,
   * in milliseconds; 0 if this host is not overloaded.
   */
  getOwnDelayMs(): number {
    return this.getUncorrectedMs() * this.error;
  }

  /** Returns the expected delay before its correction, in milliseconds. */
  getUncorrectedMs(): number {
    if (!this.isOverloaded()) {
      return 0;
    }
    const backlogMs = this.options.unsent.count() * this.perSendMs;
    return Math.max(this.standingMs, backlogMs);
  }

  /**
   * Learns from a request that is sent: reading bodies and accepting connections take time
   * as well, which depends on what callers send.
   * @param expectedMs - Uncorrected delay when the request was accepted.
   * @param actualMs - Time from its acceptance until it was sent.
   */
  addSend(expectedMs: number, actualMs: number): void {
    if (expectedMs < MIN_EXPECTED_MS) {
      return;
    }
    const error = Math.min(
      MAX_ERROR,
      Math.max(MIN_ERROR, actualMs / expectedMs),
    );
    this.error += ERROR_WEIGHT * (error - this.error);
  }

  private measureSending(nowMs: number): void {
    const sent = this.options.unsent.countSent();
    if (this.windowStartMs === undefined) {
      this.windowStartMs = nowMs;
      this.sentAtWindowStart = sent;
      return;
    }
    const elapsedMs = nowMs - this.windowStartMs;
    const sentInWindow = sent - this.sentAtWindowStart;
    const isLongEnough = elapsedMs >= WINDOW_MS && sentInWindow >= MIN_SENT;
    if (!isLongEnough && elapsedMs < MAX_WINDOW_MS) {
      return;
    }
    const measuredMs = elapsedMs / Math.max(1, sentInWindow);
    this.perSendMs =
      this.perSendMs === 0
        ? measuredMs
        : this.perSendMs + NEWEST_WEIGHT * (measuredMs - this.perSendMs);
    this.windowStartMs = nowMs;
    this.sentAtWindowStart = sent;
  }
}
