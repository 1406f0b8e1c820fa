import {Log} from '../log/index.js';
import {ListedHost, HostRole, HostState} from '../host_list/index.js';
import {Clock} from '../time/index.js';
import {
  EntryHostState,
  HeardHost,
  HostDetail,
  HostStatus,
} from './host_status.js';

/** An entry host as this host knows it. */
export interface KnownHost {
  readonly host: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly incarnation: string;
  readonly state: EntryHostState;
  /** When it was last heard itself; monotonic ms. */
  readonly heardMs: number;
  /** Its last heartbeat to this host; absent when only heard of. */
  readonly status?: HostStatus;
  /** The last detail that came with a heartbeat. */
  readonly detail?: HostDetail;
  /** Peer of its data centre that last said it lives. */
  readonly vouchedBy?: string;
}

/** What the membership works with. */
export interface MembershipOptions {
  readonly self: {
    readonly host: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly address: string;
  };
  /** Silence after which a host counts as dead, in milliseconds. */
  readonly deadAfterMs: number;
  readonly clock: Clock;
  readonly log: Log;
}

/** Silence after which a host is forgotten, as a multiple of `deadAfterMs`. */
const FORGET_FACTOR = 30;
/** Share of many hosts that may be away: a few always are. */
const AWAY_SHARE = 0.1;

/**
 * The entry hosts: who lives, who is leaving, and since when.
 *
 * Evidence ranks by directness: a host's own heartbeat, then the word of a live
 * peer of its data centre. The platform's list only names hosts to try; it lags.
 */
export class Membership {
  private readonly hosts = new Map<string, KnownHost>();
  private readonly endedIncarnations = new Set<string>();
  private listed: ReadonlySet<string> | undefined;
  private ownState: EntryHostState = EntryHostState.LIVE;

  constructor(private readonly options: MembershipOptions) {}

  /** Returns this host's own state. */
  getOwnState(): EntryHostState {
    return this.ownState;
  }

  /** Changes this host's own state. */
  setOwnState(state: EntryHostState): void {
    this.ownState = state;
  }

  /** Tells whether the platform's list of hosts was ever read. */
  hasList(): boolean {
    return this.listed !== undefined;
  }

  /** Returns every entry host heard of, this one not included. */
  listKnown(): readonly KnownHost[] {
    return [...this.hosts.values()];
  }

  /** Returns a host heard of. */
  getHost(name: string): KnownHost | undefined {
    return this.hosts.get(name);
  }

  /**
   * Tells whether a host was heard within the limit, or is vouched for by a
   * peer that was. Where hosts are linked directly their own word decides.
   */
  isAlive(known: KnownHost): boolean {
    if (known.status !== undefined || known.vouchedBy === undefined) {
      return this.isHeard(known);
    }
    const voucher = this.hosts.get(known.vouchedBy);
    return voucher !== undefined && this.isHeard(voucher);
  }

  private isHeard(known: KnownHost): boolean {
    const silentMs = this.options.clock.monotonicMs() - known.heardMs;
    return silentMs <= this.options.deadAfterMs;
  }

  /** Returns the other hosts that live and take new work. */
  listLivePeers(): readonly KnownHost[] {
    return this.listKnown().filter(
      known => known.state === EntryHostState.LIVE && this.isAlive(known),
    );
  }

  /** Tells whether all hosts heard of are there, or of many nearly all. */
  hearsOthers(): boolean {
    const known = this.listKnown();
    const away = known.filter(host => !this.isAlive(host)).length;
    return away <= known.length * AWAY_SHARE;
  }

  /** Returns the names of hosts that live and take new work, own included. */
  listLiveNames(): readonly string[] {
    const names = this.listLivePeers().map(known => known.host);
    if (this.ownState === EntryHostState.LIVE) {
      names.push(this.options.self.host);
    }
    return names;
  }

  /** Returns the names of the live hosts of this data centre, own included. */
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

  /** Tells whether a start of a host is known to have ended. */
  isGone(host: string, incarnation: string): boolean {
    const {self} = this.options;
    if (host === self.host) {
      return incarnation !== self.incarnation;
    }
    return this.endedIncarnations.has(`${host}/${incarnation}`);
  }

  /** Takes in a heartbeat that came from the host itself. */
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
      heardMs: this.options.clock.monotonicMs(),
      status,
      ...(detail === undefined ? {} : {detail}),
    });
    if (status.detail !== undefined) {
      this.setVouched(status.host, status.detail.hosts);
    }
  }

  /** Takes in the platform's list: only names that are new matter. */
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
          heardMs: Number.NEGATIVE_INFINITY,
        });
      }
    }
  }

  /**
   * Forgets hosts that have been silent for long and that the platform no
   * longer lists; one that is listed may only be cut off.
   */
  trim(): void {
    const {clock, deadAfterMs} = this.options;
    const oldestMs = clock.monotonicMs() - deadAfterMs * FORGET_FACTOR;
    for (const known of this.hosts.values()) {
      const silent = known.heardMs < oldestMs && !this.isAlive(known);
      if (silent && this.listed?.has(known.host) !== true) {
        this.hosts.delete(known.host);
      }
    }
  }

  /** Returns what to tell peers: the other live hosts of this data centre. */
  listHeard(): HeardHost[] {
    const heard: HeardHost[] = [];
    for (const known of this.hosts.values()) {
      const here = known.dataCentre === this.options.self.dataCentre;
      if (here && known.status !== undefined && this.isHeard(known)) {
        heard.push({
          host: known.host,
          dataCentre: known.dataCentre,
          address: known.address,
          incarnation: known.incarnation,
          state: known.state,
        });
      }
    }
    heard.sort((a, b) => (a.host < b.host ? -1 : 1));
    return heard;
  }

  /**
   * Returns the lowest revision in force on the live hosts of this data centre.
   * @param ownRevision - Revision in force on this host.
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

  /** Takes over which hosts a peer says are alive. */
  private setVouched(voucher: string, vouched: readonly HeardHost[]): void {
    const names = new Set(vouched.map(heard => heard.host));
    for (const known of this.hosts.values()) {
      if (known.vouchedBy === voucher && !names.has(known.host)) {
        const {vouchedBy: _vouchedBy, ...rest} = known;
        this.hosts.set(known.host, rest);
      }
    }
    for (const heard of vouched) {
      if (heard.host !== this.options.self.host) {
        this.addVouched(voucher, heard);
      }
    }
  }

  private addVouched(voucher: string, heard: HeardHost): void {
    const known = this.hosts.get(heard.host);
    if (known?.incarnation === heard.incarnation) {
      this.hosts.set(heard.host, {...known, vouchedBy: voucher});
      return;
    }
    if (known !== undefined && this.isAlive(known)) {
      // Its own word, or an earlier voucher's, stands until it falls silent.
      return;
    }
    this.set({
      ...heard,
      heardMs: Number.NEGATIVE_INFINITY,
      vouchedBy: voucher,
    });
  }

  private set(next: KnownHost): void {
    const known = this.hosts.get(next.host);
    if (known === undefined || known.incarnation !== next.incarnation) {
      if (this.isGone(next.host, next.incarnation)) {
        return;
      }
      if (known !== undefined && known.incarnation !== '') {
        this.endedIncarnations.add(`${known.host}/${known.incarnation}`);
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
