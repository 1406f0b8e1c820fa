import {Clock} from '../time/index.js';
import {PermitSchedule} from './permit_schedule.js';

/**
 * Least rate at which a server is sent requests, per second: one that gets none cannot
 * say that its limit has ended.
 */
const MIN_RATE = 0.5;
/** Rate from which on a limit binds nothing, per second: no server serves as many. */
const UNBOUND_RATE = 10_000;
/**
 * Time in which the rate doubles once a limit has ended, in milliseconds, so that hosts
 * do not all come back at once.
 */
const DOUBLING_MS = 100;
/** Doublings after which the server counts as any other. */
const DOUBLINGS = 8;
/**
 * Shares of a limit by which it may fall and rise without a word to peers: one that is
 * named a little otherwise in each answer would else be told after each.
 */
const FALL_TOLERANCE = 0.1;
const RISE_TOLERANCE = 0.25;

/** What is known of the limit of one server. */
export class TrackedLimit {
  readonly schedule = new PermitSchedule();
  /** Requests a second; absent where the server names no limit any more. */
  private perSecond: number | undefined;
  /** The last figure that the server named. */
  private lastNamed = 0;
  private changedMs: number;

  /** Number of the last change at this host. */
  version = 0;
  /** Number of the change over all hosts; the higher one is the later. */
  revision = 0;

  /**
   * @param clock - Measures ages.
   * @param offset - Moves the turns of hosts, so that they do not come to all servers
   *   at one moment.
   */
  constructor(
    private readonly clock: Clock,
    readonly offset: number,
  ) {
    this.changedMs = clock.monotonicMs();
  }

  /** Returns the limit as the server named it; absent where it names none. */
  getNamed(): number | undefined {
    return this.perSecond;
  }

  /** Returns the time since the limit changed, in milliseconds. */
  getAgeMs(): number {
    return this.clock.monotonicMs() - this.changedMs;
  }

  /**
   * Changes the limit.
   * @param perSecond - Requests a second; absent for none.
   * @param ageMs - Time since the server's answer, in milliseconds.
   */
  set(perSecond: number | undefined, ageMs: number): void {
    this.changedMs = this.clock.monotonicMs() - ageMs;
    this.perSecond = perSecond;
    this.lastNamed = perSecond ?? this.lastNamed;
  }

  /**
   * Tells whether an answer changes the limit. A lower one counts at once; a higher one,
   * or none, only from an answer to a request that was sent under the present one.
   * @param stated - What the answer states.
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

  /** Returns the requests a second that all hosts may send; absent without a bound. */
  getRate(): number | undefined {
    const rate =
      Math.max(MIN_RATE, this.lastNamed) * 2 ** this.countDoublings();
    const isOver =
      this.perSecond === undefined && this.countDoublings() > DOUBLINGS;
    return isOver || rate >= UNBOUND_RATE ? undefined : rate;
  }

  private countDoublings(): number {
    return this.perSecond === undefined
      ? 1 + Math.floor(this.getAgeMs() / DOUBLING_MS)
      : 0;
  }
}
