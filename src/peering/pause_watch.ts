import {Clock} from '../time/index.js';

/**
 * Difference between the time of day and the steady clock that tells of a pause,
 * in milliseconds: a machine that was suspended counts it on the first alone.
 */
const PAUSE_MS = 500;

/** Notices that the machine stood still while its steady clock did, too. */
export class PauseWatch {
  private offsetMs: number;

  constructor(private readonly clock: Clock) {
    this.offsetMs = this.readOffset();
  }

  /** Tells whether there was a pause, or a step of the time of day, since asked. */
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
