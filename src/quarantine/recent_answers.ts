import {Clock} from '../time/index.js';

/** Time for which an answer shows that a part is harmless, in milliseconds. */
const RECENT_MS = 10_000;
/** Largest number of parts that are kept, about 3 MB. */
const MAX_PARTS = 20_000;

/** The parts of prompts with which servers completed answers lately. */
export class RecentAnswers {
  /** Time of the last answer by part, monotonic milliseconds; the oldest first. */
  private readonly answeredMs = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that a request with a part was answered. */
  add(part: string): void {
    this.answeredMs.delete(part);
    this.answeredMs.set(part, this.clock.monotonicMs());
    const [oldest] = this.answeredMs.keys();
    if (this.answeredMs.size > MAX_PARTS && oldest !== undefined) {
      this.answeredMs.delete(oldest);
    }
  }

  /** Returns whether a request with a part was answered lately. */
  has(part: string): boolean {
    const atMs = this.answeredMs.get(part);
    return atMs !== undefined && this.clock.monotonicMs() - atMs < RECENT_MS;
  }
}
