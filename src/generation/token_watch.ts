import {RoutingDecision} from '../routing/index.js';
import {Clock, InactivityTimeout} from '../time/index.js';

/** Options of a watch. */
export interface TokenWatchOptions {
  readonly clock: Clock;
  /** Deadline of the generation, in monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Longest wait for the first token, in milliseconds. */
  readonly firstTokenTimeoutMs: number;
  /** Longest gap between tokens, in milliseconds. */
  readonly tokenTimeoutMs: number;
  /**
   * Reserves the run that follows one that is given up; `undefined` if there is none.
   * @param sinceMs - Time of the last token or of the start, in monotonic milliseconds.
   */
  readonly reserveNext: (sinceMs: number) => RoutingDecision | undefined;
}

/** Interval between attempts to reserve a run while there is none, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/**
 * Ends a run whose engine sends no token in time. A silent engine may go on later, so the
 * run ends only once the next one is reserved, or at the deadline.
 */
export class TokenWatch {
  private readonly ended = new AbortController();
  private timeout: InactivityTimeout | undefined;
  private lastTokenMs: number;
  private next: RoutingDecision | undefined;

  constructor(private readonly options: TokenWatchOptions) {
    this.lastTokenMs = options.clock.monotonicMs();
    this.wait(options.firstTokenTimeoutMs);
  }

  /** Returns a signal that is aborted when the run must end. */
  getSignal(): AbortSignal {
    return this.ended.signal;
  }

  /** Returns the time since the last token or the start, in milliseconds. */
  getSilentMs(): number {
    return this.options.clock.monotonicMs() - this.lastTokenMs;
  }

  /** Returns the reserved run if this one was ended for it. */
  getNext(): RoutingDecision | undefined {
    return this.next;
  }

  /** Records a token. */
  touch(): void {
    this.lastTokenMs = this.options.clock.monotonicMs();
    this.timeout?.touch(this.limitToDeadline(this.options.tokenTimeoutMs));
  }

  /** Ends the watch; the signal is not aborted any more. */
  stop(): void {
    this.timeout?.stop();
  }

  private wait(limitMs: number): void {
    const {clock} = this.options;
    const timeout = new InactivityTimeout(clock, this.limitToDeadline(limitMs));
    this.timeout = timeout;
    const signal = timeout.getSignal();
    if (signal.aborted) {
      this.handleSilence();
      return;
    }
    signal.addEventListener('abort', () => this.handleSilence(), {once: true});
  }

  private handleSilence(): void {
    const {clock, deadlineMs, reserveNext} = this.options;
    if (clock.monotonicMs() < deadlineMs) {
      this.next = reserveNext(this.lastTokenMs);
      if (this.next === undefined) {
        this.wait(RETRY_INTERVAL_MS);
        return;
      }
    }
    this.ended.abort();
  }

  /** Past the deadline the limit is 0, so that a run ends even if tokens arrive. */
  private limitToDeadline(limitMs: number): number {
    const {clock, deadlineMs} = this.options;
    return Math.max(0, Math.min(limitMs, deadlineMs - clock.monotonicMs()));
  }
}
