import {CancelTimer, Clock} from '../time/index.js';
import {Log, LogFields} from './log.js';

/** Most lines of an event in an interval. */
const MAX_LINES = 50;
const INTERVAL_MS = 1000;

/**
 * Logs events that clients can cause by the thousand. Beyond a number of lines an interval, they
 * are only counted, and a line states the count.
 */
export class LimitedLines {
  private readonly counts = new Map<string, number>();
  private cancelTimer: CancelTimer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Logs an event, or counts it. */
  info(event: string, fields: LogFields): void {
    const count = (this.counts.get(event) ?? 0) + 1;
    this.counts.set(event, count);
    this.cancelTimer ??= this.clock.startTimer(INTERVAL_MS, () =>
      this.endInterval(),
    );
    if (count <= MAX_LINES) {
      this.log.info(event, fields);
    }
  }

  /** Logs the counts of the interval so far; the process ends. */
  flush(): void {
    this.cancelTimer?.();
    this.endInterval();
  }

  private endInterval(): void {
    this.cancelTimer = undefined;
    for (const [event, count] of this.counts) {
      if (count > MAX_LINES) {
        this.log.warn('lines_left_out', {of: event, count: count - MAX_LINES});
      }
    }
    this.counts.clear();
  }
}
