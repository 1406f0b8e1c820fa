import {CancelTimer, Clock} from '../time/index.js';

/** Dependencies of a `LoopDelayMeter`. */
export interface LoopDelayMeterOptions {
  readonly clock: Clock;
  /**
   * Returns the time that the event loop has waited for events since the start of the
   * process, in milliseconds.
   */
  readonly readIdleMs: () => number;
  /** Calls a function after the event loop has read what waited on its sockets. */
  readonly afterPoll: (call: () => void) => void;
  /** Called after each measurement. */
  readonly onSample: () => void;
}

/** A measurement of the delay of a timer. */
interface Sample {
  readonly atMs: number;
  readonly delayMs: number;
  /** Idle time of the event loop since the start of the process, in milliseconds. */
  readonly idleMs: number;
}

/**
 * Interval between measurements, in milliseconds: four within `STANDING_MS`. Each one
 * wakes up the process.
 */
const INTERVAL_MS = 50;
/** Interval while the event loop is mostly idle, in milliseconds. */
const IDLE_INTERVAL_MS = 100;
/** Share of idle time from which the event loop is mostly idle. */
const MOSTLY_IDLE_SHARE = 0.5;
/**
 * Delay from which the event loop is late, in milliseconds. Timers and small batches of
 * events make up less on a host that keeps up.
 */
const LATE_MS = 10;
/**
 * Time for which the event loop must have been late and without idle time until a queue
 * is standing, in milliseconds: a garbage collection of 100 ms is over by then, and a
 * target of 200 ms is not yet missed by all who wait.
 */
const STANDING_MS = 200;
/**
 * Intervals without idle time that tell a standing queue from a pause: the event loop is
 * idle in the interval after a pause.
 */
const MIN_BUSY_INTERVALS = 2;
/** Share of idle time up to which the event loop is busy: the resolution of its clock. */
const BUSY_IDLE_SHARE = 0.05;

/**
 * Measures by how much the event loop is late. As in CoDel, only a queue that did not
 * become empty for an interval counts as standing; a single pause does not.
 */
export class LoopDelayMeter {
  /** Measurements since the event loop was last idle, the newest last. */
  private busy: Sample[] = [];
  private last: Sample | undefined;
  /** Time at which the next measurement is due; absent while nothing is measured. */
  private dueMs: number | undefined;
  /** Interval until the next measurement, in milliseconds. */
  private intervalMs = INTERVAL_MS;
  /** Whether what waited when the last measurement was made may still be unread. */
  private isReading = false;
  private cancel: CancelTimer = () => undefined;

  constructor(private readonly options: LoopDelayMeterOptions) {}

  /** Starts measuring. */
  start(): void {
    this.dueMs = undefined;
    this.schedule();
  }

  /** Stops measuring. */
  stop(): void {
    this.cancel();
    this.reset();
  }

  /** Returns the last measured delay in milliseconds; 0 without a measurement. */
  getDelayMs(): number {
    return this.last?.delayMs ?? 0;
  }

  /** Returns whether the event loop had no idle time between the last two measurements. */
  isBusy(): boolean {
    return this.busy.length > 1;
  }

  /**
   * Returns the median delay while the event loop has been late and without idle time for
   * `STANDING_MS`, in milliseconds; 0 otherwise. A single pause does not affect it.
   */
  getStandingMs(): number {
    const {busy} = this;
    const [first, ...delayed] = busy;
    const newest = busy.at(-1);
    if (
      first === undefined ||
      newest === undefined ||
      delayed.length < MIN_BUSY_INTERVALS ||
      newest.atMs - first.atMs < STANDING_MS
    ) {
      return 0;
    }
    const delaysMs = delayed.map(({delayMs}) => delayMs).sort((a, b) => a - b);
    const medianMs = delaysMs[Math.floor(delaysMs.length / 2)] ?? 0;
    // After a pause, the queue that grew in it is worked off, and the newest one is on time.
    return Math.min(medianMs, newest.delayMs) < LATE_MS ? 0 : medianMs;
  }

  /**
   * Returns for how long what is read now may have waited in the kernel, in milliseconds;
   * 0 if the event loop is on time.
   */
  getReadDelayMs(): number {
    if (this.dueMs === undefined) {
      return 0;
    }
    const nowMs = this.options.clock.monotonicMs();
    const {last} = this;
    const delayMs =
      this.isReading && last !== undefined
        ? last.delayMs + nowMs - last.atMs
        : nowMs - this.dueMs;
    return delayMs < LATE_MS ? 0 : delayMs;
  }

  private schedule(): void {
    const {clock} = this.options;
    this.dueMs = clock.monotonicMs() + this.intervalMs;
    this.cancel = clock.startTimer(this.intervalMs, () => this.measure());
  }

  private measure(): void {
    const {clock, readIdleMs, onSample} = this.options;
    const atMs = clock.monotonicMs();
    const delayMs = Math.max(0, atMs - (this.dueMs ?? atMs));
    this.add({atMs, delayMs, idleMs: readIdleMs()});
    this.schedule();
    onSample();
  }

  private add(sample: Sample): void {
    const {last} = this;
    this.last = sample;
    const idleShare =
      last === undefined
        ? 1
        : (sample.idleMs - last.idleMs) / (sample.atMs - last.atMs);
    this.intervalMs =
      idleShare > MOSTLY_IDLE_SHARE ? IDLE_INTERVAL_MS : INTERVAL_MS;
    this.busy = idleShare > BUSY_IDLE_SHARE ? [sample] : [...this.busy, sample];
    while (
      this.busy.length > MIN_BUSY_INTERVALS + 1 &&
      sample.atMs - (this.busy[1]?.atMs ?? 0) >= STANDING_MS
    ) {
      this.busy.shift();
    }
    if (sample.delayMs >= LATE_MS) {
      this.isReading = true;
      // A later measurement has a reading of its own.
      this.options.afterPoll(() => (this.isReading &&= this.last !== sample));
    }
  }

  private reset(): void {
    this.busy = [];
    this.last = undefined;
    this.dueMs = undefined;
    this.isReading = false;
  }
}
