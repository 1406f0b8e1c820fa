import {CancelTimer, Clock} from './clock.js';

/** Longest pause between looks, in milliseconds. */
const MAX_WAIT_MS = 500;
/** Made once: an error made for each watch costs a trace of the stack. */
const TOO_SILENT = new Error('silent for too long');

/**
 * Ends a stream that has been silent for too long. One timer per stream, not
 * one per token: it is set again only when it has run out.
 */
export class SilenceWatch {
  private readonly silent = new AbortController();
  private lastMs: number;
  private cancel: CancelTimer = () => undefined;

  /**
   * @param clock - Measures the silence.
   * @param limitMs - Longest silence, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private limitMs: number,
  ) {
    this.lastMs = clock.monotonicMs();
    this.look();
  }

  /** Aborted after too long a silence. */
  getSignal(): AbortSignal {
    return this.silent.signal;
  }

  /** Returns the longest silence allowed now, in milliseconds. */
  getLimitMs(): number {
    return this.limitMs;
  }

  /**
   * Notes a sign of life.
   * @param limitMs - Longest silence from here on, in milliseconds.
   */
  touch(limitMs: number): void {
    this.lastMs = this.clock.monotonicMs();
    this.limitMs = limitMs;
  }

  /** Ends the watch. */
  stop(): void {
    this.cancel();
  }

  private look(): void {
    const silentMs = this.clock.monotonicMs() - this.lastMs;
    if (silentMs >= this.limitMs) {
      this.silent.abort(TOO_SILENT);
      return;
    }
    // The limit may shrink meanwhile, so look again soon enough.
    const waitMs = Math.min(this.limitMs - silentMs, MAX_WAIT_MS);
    this.cancel = this.clock.startTimer(waitMs, () => this.look());
  }
}
