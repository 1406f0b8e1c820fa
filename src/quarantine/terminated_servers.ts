import {Clock} from '../time/index.js';

/** Checks whether nothing listens at an address: the server process has terminated. */
export type CheckTermination = (address: string) => Promise<boolean>;

/**
 * Time for which a detected termination is reused for other requests, in milliseconds:
 * a server loses all its requests at once, and takes longer than this to restart.
 */
const RESULT_REUSE_MS = 200;

/** Time within which terminations of servers count as simultaneous, in milliseconds. */
export const CORRELATION_WINDOW_MS = 500;

/**
 * Distinguishes a terminated server from one that only broke a connection. All requests that
 * a server loses at the same time share one check. A result that the server is running
 * is not reused, since it may have terminated since.
 */
export class TerminatedServers {
  /** Checks in progress, by address. */
  private readonly pendingChecks = new Map<string, Promise<boolean>>();
  /** Time of each termination that is reused for other requests, monotonic milliseconds. */
  private readonly terminatedMs = new Map<string, number>();
  /** Time of each termination within `CORRELATION_WINDOW_MS`, monotonic milliseconds. */
  private readonly recentTerminationsMs = new Map<string, number>();

  /**
   * @param clock - Measures the age of results.
   * @param checkTermination - Checks an address.
   */
  constructor(
    private readonly clock: Clock,
    private readonly checkTermination: CheckTermination,
  ) {}

  /** Returns whether the server at an address, which lost a connection, has terminated. */
  async hasTerminated(address: string): Promise<boolean> {
    this.trim();
    if (this.terminatedMs.has(address)) {
      return true;
    }
    const pending = this.pendingChecks.get(address);
    if (pending !== undefined) {
      return pending;
    }
    const check = this.checkTermination(address);
    this.pendingChecks.set(address, check);
    const hasTerminated = await check;
    this.pendingChecks.delete(address);
    if (hasTerminated) {
      this.terminatedMs.set(address, this.clock.monotonicMs());
      this.recentTerminationsMs.set(address, this.clock.monotonicMs());
    }
    return hasTerminated;
  }

  /**
   * Returns whether a request is not the cause of simultaneous terminations, since most
   * of the terminated servers did not run it.
   * @param own - Number of the terminated servers that ran the request.
   */
  hasAnotherCause(own: number): boolean {
    return this.countRecentTerminations() - own > own;
  }

  /** Counts the servers whose termination was detected within `CORRELATION_WINDOW_MS`. */
  private countRecentTerminations(): number {
    const oldestMs = this.clock.monotonicMs() - CORRELATION_WINDOW_MS;
    for (const [address, atMs] of this.recentTerminationsMs) {
      if (atMs <= oldestMs) {
        this.recentTerminationsMs.delete(address);
      }
    }
    return this.recentTerminationsMs.size;
  }

  private trim(): void {
    const oldestMs = this.clock.monotonicMs() - RESULT_REUSE_MS;
    for (const [address, atMs] of this.terminatedMs) {
      if (atMs <= oldestMs) {
        this.terminatedMs.delete(address);
      }
    }
  }
}
