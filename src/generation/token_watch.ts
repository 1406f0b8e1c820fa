import {Clock, InactivityTimeout} from '../time/index.js';
import {OpenedRun} from './opened_run.js';

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
   * Begins another run beside the silent one; `undefined` if none can be begun now.
   * @param sinceMs - Time of the last token or of the start, in monotonic milliseconds.
   */
  readonly openNext: (sinceMs: number) => OpenedRun | undefined;
  /** Called when the other run has failed, or sent no token in time. */
  readonly onNextFailed: (run: OpenedRun, error: unknown) => void;
}

/** Interval between checks while the run is silent, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * Ends a run whose engine sends no token in time. A silent engine may go on later, so
 * another run is begun beside it, and the first one to send a token is kept. Without
 * another one, the run ends at the deadline.
 */
export class TokenWatch {
  private readonly ended = new AbortController();
  private timeout: InactivityTimeout | undefined;
  private lastTokenMs: number;
  private next: OpenedRun | undefined;

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

  /** Returns the run that takes the place of this one, if any. */
  takeNext(): OpenedRun | undefined {
    const {next} = this;
    this.next = undefined;
    return next;
  }

  /** Records a token; another run is no longer needed. */
  touch(): void {
    this.lastTokenMs = this.options.clock.monotonicMs();
    this.timeout?.touch(this.limitToDeadline(this.options.tokenTimeoutMs));
    this.takeNext()?.discard();
  }

  /** Ends the watch, and the other run unless it was taken. */
  stop(): void {
    this.timeout?.stop();
    this.takeNext()?.discard();
  }

  private wait(limitMs: number): void {
    const {clock} = this.options;
    this.timeout = new InactivityTimeout(clock, this.limitToDeadline(limitMs));
    this.timeout
      .getSignal()
      .addEventListener('abort', () => this.handleSilence(), {once: true});
  }

  private handleSilence(): void {
    const {clock, deadlineMs, firstTokenTimeoutMs} = this.options;
    const nowMs = clock.monotonicMs();
    if (this.ended.signal.aborted) {
      return;
    }
    if (nowMs >= deadlineMs) {
      this.ended.abort();
      return;
    }
    if (this.next !== undefined) {
      const isLate = nowMs - this.next.startMs >= firstTokenTimeoutMs;
      if (isLate) {
        this.dropNext(this.next, new Error('no first token in time'));
      }
    }
    if (this.next === undefined) {
      this.openNext();
    }
    this.wait(CHECK_INTERVAL_MS);
  }

  private openNext(): void {
    const next = this.options.openNext(this.lastTokenMs);
    this.next = next;
    next?.first.then(
      () => {
        if (this.next === next) {
          this.ended.abort();
        }
      },
      (error: unknown) => this.dropNext(next, error),
    );
  }

  private dropNext(run: OpenedRun | undefined, error: unknown): void {
    if (run !== undefined && this.next === run) {
      this.next = undefined;
      run.fail();
      this.options.onNextFailed(run, error);
    }
  }

  /** Past the deadline the limit is 0, so that a run ends even if tokens arrive. */
  private limitToDeadline(limitMs: number): number {
    const {clock, deadlineMs} = this.options;
    return Math.max(0, Math.min(limitMs, deadlineMs - clock.monotonicMs()));
  }
}
