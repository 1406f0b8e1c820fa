import {Log} from '../log/index.js';
import {ListedHost, HostRole, HostState} from '../host_list/index.js';
import {Clock} from '../time/index.js';
import {
  EntryHostState,
  ReachableHost,
  HostDetail,
  HostStatus,
} from './host_status.js';

/** What this host knows of an entry host. */
export interface KnownHost {
  readonly host: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly incarnation: string;
  readonly state: EntryHostState;
  /** When its last own heartbeat arrived, monotonic milliseconds. */
  readonly lastContactMs: number;
  /** Its last heartbeat to this host; absent if it is only known from others. */
  readonly status?: HostStatus;
  /** The detail of the last heartbeat that had one. */
  readonly detail?: HostDetail;
  /** The peer of its data centre that last reported it as alive. */
  readonly reportedBy?: string;
}

/** Dependencies and timing of the membership. */
export interface MembershipOptions {
  readonly self: {
    readonly host: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly address: string;
  };
  /** Time without contact after which a host counts as dead, in milliseconds. */
  readonly deadAfterMs: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** Time without contact after which a host is dropped, as a multiple of `deadAfterMs`. */
const FORGET_FACTOR = 30;
/** Share of the hosts that may be unreachable: of many hosts, a few always are. */
const MAX_UNREACHABLE_SHARE = 0.1;

/**
 * The entry hosts, with their state and whether they are alive.
 *
 * The most direct evidence wins: a host's own heartbeat, then the report of a live
 * peer of its data centre. The platform's list only names hosts to try, as it lags.
 */
export class Membership {
  private readonly hosts = new Map<string, KnownHost>();
  private readonly terminatedIncarnations = new Set<string>();
  private listed: ReadonlySet<string> | undefined;
  private ownState: EntryHostState = EntryHostState.LIVE;

  constructor(private readonly options: MembershipOptions) {}

  /** Returns this host's own state. */
  getOwnState(): EntryHostState {
    return this.ownState;
  }

  /** Sets this host's own state. */
  setOwnState(state: EntryHostState): void {
    this.ownState = state;
  }

  /** Returns whether the platform's list of hosts was ever read. */
  hasList(): boolean {
    return this.listed !== undefined;
  }

  /** Returns every known entry host except this one. */
  listKnown(): readonly KnownHost[] {
    return [...this.hosts.values()];
  }

  /** Returns a known host. */
  getHost(name: string): KnownHost | undefined {
    return this.hosts.get(name);
  }

  /**
   * Returns whether a host sent a heartbeat within `deadAfterMs`, or is reported alive
   * by a peer that did. Where a host is linked directly, its own heartbeats decide.
   */
  isAlive(known: KnownHost): boolean {
    if (known.status !== undefined || known.reportedBy === undefined) {
      return this.isReachable(known);
    }
    const reporter = this.hosts.get(known.reportedBy);
    return reporter !== undefined && this.isReachable(reporter);
  }

  private isReachable(known: KnownHost): boolean {
    const sinceContactMs =
      this.options.clock.monotonicMs() - known.lastContactMs;
    return sinceContactMs <= this.options.deadAfterMs;
  }

  /** Returns the other hosts that are alive and accept new work. */
  listLivePeers(): readonly KnownHost[] {
    return this.listKnown().filter(
      known => known.state === EntryHostState.LIVE && this.isAlive(known),
    );
  }

  /** Returns whether all known hosts are alive, or nearly all if there are many. */
  areMostAlive(): boolean {
    const known = this.listKnown();
    const unreachable = known.filter(host => !this.isAlive(host)).length;
    return unreachable <= known.length * MAX_UNREACHABLE_SHARE;
  }

  /** Returns the names of hosts that are alive and accept new work, own included. */
  listLiveNames(): readonly string[] {
    const names = this.listLivePeers().map(known => known.host);
    if (this.ownState === EntryHostState.LIVE) {
      names.push(this.options.self.host);
    }
    return names;
  }

  /** Returns the names of live hosts of this data centre; always includes this host. */
  listLiveNamesHere(): readonly string[] {
    const {dataCentre, host} = this.options.self;
    const names = [host];
    for (const known of this.listLivePeers()) {
      if (known.dataCentre === dataCentre) {
        names.push(known.host);
      }
    }
    return names;
  }

  /** Returns whether an incarnation of a host is known to have terminated. */
  isTerminated(host: string, incarnation: string): boolean {
    const {self} = this.options;
    if (host === self.host) {
      return incarnation !== self.incarnation;
    }
    return this.terminatedIncarnations.has(`${host}/${incarnation}`);
  }

  /** Processes a heartbeat that a host sent to this host. */
  addStatus(status: HostStatus): void {
    if (status.host === this.options.self.host) {
      return;
    }
    const known = this.hosts.get(status.host);
    const same = known?.incarnation === status.incarnation;
    const detail = status.detail ?? (same ? known?.detail : undefined);
    this.set({
      host: status.host,
      dataCentre: status.dataCentre,
      address: detail?.address ?? known?.address ?? '',
      incarnation: status.incarnation,
      state: status.state,
      lastContactMs: this.options.clock.monotonicMs(),
      status,
      ...(detail === undefined ? {} : {detail}),
    });
    if (status.detail !== undefined) {
      this.setReported(status.host, status.detail.hosts);
    }
  }

  /** Processes the platform's list: only names that are not yet known matter. */
  addListed(listed: readonly ListedHost[]): void {
    this.listed = new Set(listed.map(entry => entry.name));
    for (const entry of listed) {
      const isPeer =
        entry.role === HostRole.ENTRY && entry.name !== this.options.self.host;
      if (isPeer && !this.hosts.has(entry.name)) {
        this.set({
          host: entry.name,
          dataCentre: entry.dataCentre,
          address: entry.address,
          incarnation: '',
          state:
            entry.state === HostState.LEAVING
              ? EntryHostState.LEAVING
              : EntryHostState.LIVE,
          lastContactMs: Number.NEGATIVE_INFINITY,
        });
      }
    }
  }

  /**
   * Drops hosts that have sent no heartbeat for long, are not reported alive, and are
   * no longer listed by the platform; a listed host may only be partitioned.
   */
  trim(): void {
    const {clock, deadAfterMs} = this.options;
    const oldestMs = clock.monotonicMs() - deadAfterMs * FORGET_FACTOR;
    for (const known of this.hosts.values()) {
      const isUnreachable =
        known.lastContactMs < oldestMs && !this.isAlive(known);
      if (isUnreachable && this.listed?.has(known.host) !== true) {
        this.hosts.delete(known.host);
      }
    }
  }

  /** Returns the hosts to report to peers: those reachable in this data centre. */
  listReachable(): ReachableHost[] {
    const reachable: ReachableHost[] = [];
    for (const known of this.hosts.values()) {
      const here = known.dataCentre === this.options.self.dataCentre;
      if (here && known.status !== undefined && this.isReachable(known)) {
        reachable.push({
          host: known.host,
          dataCentre: known.dataCentre,
          address: known.address,
          incarnation: known.incarnation,
          state: known.state,
        });
      }
    }
    reachable.sort((a, b) => (a.host < b.host ? -1 : 1));
    return reachable;
  }

  /**
   * Returns the lowest revision in force on the live hosts of this data centre.
   * @param ownRevision - Configuration revision in force on this host.
   */
  getCentreRevision(ownRevision: number): number {
    let lowest = ownRevision;
    for (const known of this.hosts.values()) {
      const here = known.dataCentre === this.options.self.dataCentre;
      if (here && known.status !== undefined && this.isAlive(known)) {
        lowest = Math.min(lowest, known.status.revision);
      }
    }
    return lowest;
  }

  /** Replaces the hosts that a peer reports as alive. */
  private setReported(
    reporter: string,
    reported: readonly ReachableHost[],
  ): void {
    const names = new Set(reported.map(reachable => reachable.host));
    for (const known of this.hosts.values()) {
      if (known.reportedBy === reporter && !names.has(known.host)) {
        const {reportedBy: _reportedBy, ...rest} = known;
        this.hosts.set(known.host, rest);
      }
    }
    for (const reachable of reported) {
      if (reachable.host !== this.options.self.host) {
        this.addReported(reporter, reachable);
      }
    }
  }

  private addReported(reporter: string, reachable: ReachableHost): void {
    const known = this.hosts.get(reachable.host);
    if (known?.incarnation === reachable.incarnation) {
      this.hosts.set(reachable.host, {...known, reportedBy: reporter});
      return;
    }
    if (known !== undefined && this.isAlive(known)) {
      // Its own heartbeat, or an earlier peer's report, counts until it expires.
      return;
    }
    this.set({
      ...reachable,
      lastContactMs: Number.NEGATIVE_INFINITY,
      reportedBy: reporter,
    });
  }

  private set(next: KnownHost): void {
    const known = this.hosts.get(next.host);
    if (known === undefined || known.incarnation !== next.incarnation) {
      if (this.isTerminated(next.host, next.incarnation)) {
        return;
      }
      if (known !== undefined && known.incarnation !== '') {
        this.terminatedIncarnations.add(`${known.host}/${known.incarnation}`);
      }
      this.options.log.info('host_known', {
        peer: next.host,
        data_centre: next.dataCentre,
        incarnation: next.incarnation || undefined,
      });
    } else if (known.state !== next.state) {
      this.options.log.info('host_state', {
        peer: next.host,
        state: next.state,
      });
    }
    this.hosts.set(next.host, next);
  }
}
