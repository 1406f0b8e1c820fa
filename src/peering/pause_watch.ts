import {Clock} from '../time/index.js';

/**
 * Advance of the wall clock over the monotonic clock that indicates a pause, in
 * milliseconds: while a machine is suspended, only its wall clock advances.
 */
const PAUSE_MS = 500;

/** Detects that the machine was suspended, which its monotonic clock does not count. */
export class PauseWatch {
  private offsetMs: number;

  constructor(private readonly clock: Clock) {
    this.offsetMs = this.readOffset();
  }

  /** Returns whether the machine paused, or its wall clock stepped, since the last call. */
  hasPaused(): boolean {
    const offsetMs = this.readOffset();
    const stepMs = offsetMs - this.offsetMs;
    this.offsetMs = offsetMs;
    return stepMs > PAUSE_MS;
  }

  private readOffset(): number {
    return this.clock.now().getTime() - this.clock.monotonicMs();
  }
}
