import {Clock} from '../time/index.js';

/** Looks whether nothing listens at an address: the server's process has ended. */
export type LookForEnd = (address: string) => Promise<boolean>;

/**
 * Time for which an end that was found counts for others, in milliseconds: all that
 * the server had under way is lost at once, and it takes longer to start again.
 */
const SHARED_MS = 200;

/** Time within which servers that end do so together, in milliseconds. */
export const WAVE_MS = 500;

/**
 * Tells a server that has ended from one that broke a channel off. All requests that
 * a server loses at one moment share one look; that a server was there a moment ago
 * tells nothing of now.
 */
export class EndedServers {
  /** Looks under way, by address. */
  private readonly looks = new Map<string, Promise<boolean>>();
  /** When a server was last found to have ended, monotonic milliseconds. */
  private readonly endedMs = new Map<string, number>();
  /** When each server was found to have ended, of late; monotonic milliseconds. */
  private readonly lateEndsMs = new Map<string, number>();

  /**
   * @param clock - Measures the age of what was found.
   * @param lookForEnd - Looks at an address.
   */
  constructor(
    private readonly clock: Clock,
    private readonly lookForEnd: LookForEnd,
  ) {}

  /** Tells whether the server at an address, where a channel broke, has ended. */
  async hasEnded(address: string): Promise<boolean> {
    this.trim();
    if (this.endedMs.has(address)) {
      return true;
    }
    const under = this.looks.get(address);
    if (under !== undefined) {
      return under;
    }
    const look = this.lookForEnd(address);
    this.looks.set(address, look);
    const ended = await look;
    this.looks.delete(address);
    if (ended) {
      this.endedMs.set(address, this.clock.monotonicMs());
      this.lateEndsMs.set(address, this.clock.monotonicMs());
    }
    return ended;
  }

  /**
   * Tells whether servers end together most of which did not run what ran on some: then
   * they end of another cause.
   * @param own - Servers among them that did run it.
   */
  endsForAnotherCause(own: number): boolean {
    return this.countInWave() - own > own;
  }

  /** Counts the servers that were found to have ended within `WAVE_MS`. */
  private countInWave(): number {
    const oldestMs = this.clock.monotonicMs() - WAVE_MS;
    for (const [address, endedMs] of this.lateEndsMs) {
      if (endedMs <= oldestMs) {
        this.lateEndsMs.delete(address);
      }
    }
    return this.lateEndsMs.size;
  }

  private trim(): void {
    const oldestMs = this.clock.monotonicMs() - SHARED_MS;
    for (const [address, endedMs] of this.endedMs) {
      if (endedMs <= oldestMs) {
        this.endedMs.delete(address);
      }
    }
  }
}
