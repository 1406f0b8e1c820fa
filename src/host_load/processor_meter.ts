import {Clock} from '../time/index.js';

/** Dependencies of a `ProcessorMeter`. */
export interface ProcessorMeterOptions {
  readonly clock: Clock;
  /** Returns the processor time that this process has used, in milliseconds. */
  readonly readUsedMs: () => number;
  /** Returns the capacity of this host, in cores. */
  readonly getCores: () => number;
}

/**
 * Shortest time over which the use is measured, in milliseconds: several periods of 100 ms
 * in which the system allots processor time.
 */
const WINDOW_MS = 500;

/** Measures which share of its processor capacity this host uses. */
export class ProcessorMeter {
  private startMs: number | undefined;
  private startUsedMs = 0;
  private share: number | undefined;

  constructor(private readonly options: ProcessorMeterOptions) {}

  /** Measures; to be called several times per second. */
  update(): void {
    const {clock, readUsedMs, getCores} = this.options;
    const nowMs = clock.monotonicMs();
    const elapsedMs = nowMs - (this.startMs ?? nowMs);
    if (this.startMs !== undefined && elapsedMs < WINDOW_MS) {
      return;
    }
    const usedMs = readUsedMs();
    if (this.startMs !== undefined) {
      this.share = (usedMs - this.startUsedMs) / (elapsedMs * getCores());
    }
    this.startMs = nowMs;
    this.startUsedMs = usedMs;
  }

  /** Returns the share used, from 0; `undefined` without a measurement. */
  getShare(): number | undefined {
    return this.share;
  }
}
