import {Log} from '../log/index.js';
import {HostState, ListedHost, ReclaimNotice} from '../host_list/index.js';
import {Clock} from '../time/index.js';
import {LeavingHost} from './host_status.js';

/** Evidence that a host is leaving. */
interface Departure {
  /** When any host first learned of it, on the local monotonic clock. */
  readonly sinceMs: number;
  /** When the platform reclaims the host, monotonic ms; absent if not announced. */
  readonly deadlineMs?: number;
  /**
   * When the platform last confirmed it, or when it was first known if the platform has
   * not, monotonic milliseconds.
   */
  readonly confirmedMs: number;
}

/** Time after the last confirmation until a departure is dropped, in milliseconds. */
const FORGET_MS = 120_000;

/**
 * Hosts of either role that are leaving, from every source of evidence: the platform's
 * list and notices, reports of peers, and operators through the records.
 */
export class LeavingHosts {
  private readonly departures = new Map<string, Departure>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Returns whether a host is leaving. */
  isLeaving(host: string): boolean {
    return this.departures.has(host);
  }

  /**
   * Returns the time until a host is reclaimed, in milliseconds; `undefined` if the
   * host is not leaving or the platform has not announced when.
   */
  getRemainingMs(host: string): number | undefined {
    const deadlineMs = this.departures.get(host)?.deadlineMs;
    return deadlineMs === undefined
      ? undefined
      : deadlineMs - this.clock.monotonicMs();
  }

  /** Adds the leaving hosts of the platform's list. */
  addListed(listed: readonly ListedHost[]): void {
    for (const entry of listed) {
      if (entry.state === HostState.LEAVING) {
        this.add(entry.name, 0, undefined, 'host-list');
      }
    }
  }

  /** Adds the hosts of the platform's reclaim notices. */
  addNotices(notices: readonly ReclaimNotice[]): void {
    const nowMs = this.clock.now().getTime();
    for (const notice of notices) {
      this.add(notice.host, 0, notice.deadlineMs - nowMs, 'notice');
    }
  }

  /** Adds the leaving hosts that a peer reports. */
  addReported(reported: readonly LeavingHost[], peer: string): void {
    for (const leaving of reported) {
      this.add(leaving.host, leaving.ageMs, leaving.remainingMs, peer);
    }
  }

  /** Returns the leaving hosts to report to peers. */
  list(): LeavingHost[] {
    const nowMs = this.clock.monotonicMs();
    const leaving: LeavingHost[] = [];
    for (const [host, departure] of this.departures) {
      const remaining =
        departure.deadlineMs === undefined
          ? {}
          : {remainingMs: departure.deadlineMs - nowMs};
      leaving.push({host, ageMs: nowMs - departure.sinceMs, ...remaining});
    }
    return leaving;
  }

  /** Drops departures that were not confirmed in the last `FORGET_MS`. */
  trim(): void {
    const oldestMs = this.clock.monotonicMs() - FORGET_MS;
    for (const [host, departure] of this.departures) {
      if (Math.max(departure.sinceMs, departure.confirmedMs) < oldestMs) {
        this.departures.delete(host);
      }
    }
  }

  private add(
    host: string,
    ageMs: number,
    remainingMs: number | undefined,
    source: string,
  ): void {
    // Old reports must expire that peers only repeat to each other.
    if (ageMs > FORGET_MS) {
      return;
    }
    const nowMs = this.clock.monotonicMs();
    const known = this.departures.get(host);
    if (known === undefined) {
      this.log.info('host_leaving', {
        leaving: host,
        source,
        remaining_ms:
          remainingMs === undefined ? undefined : Math.round(remainingMs),
      });
    }
    const deadlineMs =
      remainingMs === undefined ? known?.deadlineMs : nowMs + remainingMs;
    const direct = source === 'notice' || source === 'host-list';
    this.departures.set(host, {
      sinceMs: Math.min(known?.sinceMs ?? nowMs, nowMs - ageMs),
      confirmedMs: direct ? nowMs : (known?.confirmedMs ?? nowMs - ageMs),
      ...(deadlineMs === undefined ? {} : {deadlineMs}),
    });
  }
}
