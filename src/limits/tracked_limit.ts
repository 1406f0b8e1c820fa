import {Clock} from '../time/index.js';
import {PermitSchedule} from './permit_schedule.js';

/**
 * Minimum rate of requests sent to a server, per second: a server that receives none
 * cannot state that its limit has ended.
 */
const MIN_RATE_PER_S = 0.5;
/** Rate per second from which a limit has no effect, since no server serves as many. */
const UNLIMITED_RATE_PER_S = 10_000;
/**
 * Time in which the rate doubles after a limit has ended, in milliseconds, so that the
 * hosts do not all return to the server at once.
 */
const DOUBLING_MS = 100;
/** Number of doublings after which the server counts as unlimited. */
const MAX_DOUBLINGS = 8;
/**
 * Fractions by which a limit may fall and rise without being reported to peers.
 * Otherwise a limit that varies slightly with each answer would be reported each time.
 */
const FALL_TOLERANCE = 0.1;
const RISE_TOLERANCE = 0.25;

/** State of one server's limit. */
export class TrackedLimit {
  readonly schedule = new PermitSchedule();
  /** Requests per second; absent if the server no longer states a limit. */
  private perSecond: number | undefined;
  /** The last limit that the server stated, in requests per second. */
  private lastStated = 0;
  private changedMs: number;

  /** Number of the last change at this host. */
  version = 0;
  /** Number of the change across all hosts; the higher one is the newer. */
  revision = 0;

  /**
   * @param clock - Measures ages.
   * @param offset - Shifts the positions of hosts for this server, so that a host's
   *   permits for different servers are not all issued at the same time.
   */
  constructor(
    private readonly clock: Clock,
    readonly offset: number,
  ) {
    this.changedMs = clock.monotonicMs();
  }

  /** Returns the limit as the server stated it; absent if it states none. */
  getStated(): number | undefined {
    return this.perSecond;
  }

  /** Returns the time since the limit changed, in milliseconds. */
  getAgeMs(): number {
    return this.clock.monotonicMs() - this.changedMs;
  }

  /**
   * Changes the limit.
   * @param perSecond - Requests per second; absent for no limit.
   * @param ageMs - Time since the server's answer, in milliseconds.
   */
  set(perSecond: number | undefined, ageMs: number): void {
    this.changedMs = this.clock.monotonicMs() - ageMs;
    this.perSecond = perSecond;
    this.lastStated = perSecond ?? this.lastStated;
  }

  /**
   * Returns whether an answer changes the limit. A lower limit applies immediately. A
   * higher one, or none, applies only if the request was sent after the last change.
   * @param stated - The limit in the answer; absent if it states none.
   * @param sentMs - When its request was sent, monotonic milliseconds.
   */
  isChangedBy(stated: number | undefined, sentMs: number): boolean {
    const before = this.perSecond;
    if (stated === before) {
      return false;
    }
    const isSentSince = sentMs >= this.changedMs;
    if (stated === undefined) {
      return isSentSince;
    }
    if (before === undefined) {
      return true;
    }
    return stated < before
      ? stated < before * (1 - FALL_TOLERANCE)
      : isSentSince && stated > before * (1 + RISE_TOLERANCE);
  }

  /** Returns the requests per second that all hosts may send; absent if unbounded. */
  getRate(): number | undefined {
    const rate =
      Math.max(MIN_RATE_PER_S, this.lastStated) * 2 ** this.countDoublings();
    const isOver =
      this.perSecond === undefined && this.countDoublings() > MAX_DOUBLINGS;
    return isOver || rate >= UNLIMITED_RATE_PER_S ? undefined : rate;
  }

  private countDoublings(): number {
    return this.perSecond === undefined
      ? 1 + Math.floor(this.getAgeMs() / DOUBLING_MS)
      : 0;
  }
}
