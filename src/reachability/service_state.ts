import {CancelTimer, Clock} from '../time/index.js';

/** What this host knows of its way to the servers of one service. */
export class ServiceState {
  /** When the servers were found unreachable, monotonic milliseconds; absent if they are not. */
  unreachableSinceMs: number | undefined;
  /** Number of servers that were tried in vain when they were found unreachable. */
  triedServers = 0;
  /** Whether open connections may still deliver while no new one can be opened. */
  trustsOpenConnections = false;
  /** Check in progress, which all requests share. */
  check: Promise<boolean> | undefined;
  /** When the last check found a server reachable, monotonic milliseconds. */
  reachedMs = Number.NEGATIVE_INFINITY;
  /** When a connection last broke, monotonic milliseconds. */
  brokenMs = Number.NEGATIVE_INFINITY;
  /** Number of checks in a row that reached a server since they were unreachable. */
  recoveredChecks = 0;
  cancelTimer: CancelTimer = () => undefined;
  private waiting = 0;
  /** When a server last answered, or the first request began to wait, monotonic ms. */
  heardMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Records that a request waits for a server; returns how many do. */
  beginWait(): number {
    if (this.waiting === 0) {
      this.heardMs = this.clock.monotonicMs();
    }
    return ++this.waiting;
  }

  endWait(): void {
    this.waiting--;
  }

  /** Records that bytes of a server have arrived. */
  addBytes(): void {
    this.heardMs = this.clock.monotonicMs();
  }

  isWaiting(): boolean {
    return this.waiting > 0;
  }

  /** Returns for how long requests have waited without bytes of any server, in ms. */
  getSilenceMs(): number {
    const sinceMs = Math.max(this.heardMs, this.reachedMs);
    return this.clock.monotonicMs() - sinceMs;
  }
}
