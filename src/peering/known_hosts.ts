import {Log} from '../log/index.js';
import {Turn} from '../limits/index.js';
import {rankByRendezvous} from '../random/index.js';
import {Clock} from '../time/index.js';
import {HostAddress} from './host_address.js';

/** Dependencies and timing of the known hosts. */
export interface KnownHostsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly self: HostAddress;
  /** Age beyond which a report no longer counts, in milliseconds. */
  readonly staleMs: number;
  /** Time without a report after which a host is dropped, in milliseconds. */
  readonly goneMs: number;
}

/** A host, and when it was last known to be alive. */
interface KnownHost {
  address: HostAddress;
  /** When it was last known to be alive, monotonic milliseconds. */
  aliveMs: number;
  /** When it last reported itself, monotonic milliseconds. */
  reportedMs: number;
}

/** The ranked hosts of a data centre. */
interface Ranking {
  /** Monotonic milliseconds. */
  readonly createdMs: number;
  readonly hosts: readonly HostAddress[];
}

/** Time for which an unreachable host is skipped. */
interface SkippedHost {
  /** Monotonic milliseconds. */
  readonly untilMs: number;
  readonly skipMs: number;
}

/** Which hosts a peer's list covers. */
export const MemberScope = {
  /** Hosts of its data centre that report to it. */
  CENTRE: 'centre',
  /** All hosts that it knows to be alive. */
  ALL: 'all',
} as const;
export type MemberScope = (typeof MemberScope)[keyof typeof MemberScope];

/** Hosts that a peer has reported as alive. */
interface ReportedMembers {
  readonly scope: MemberScope;
  /** Version that the peer gave the list. */
  readonly version: number;
  readonly hosts: ReadonlySet<string>;
  reportedMs: number;
}

/**
 * Maximum number of hosts, this one included, with a full mesh of heartbeats. In a
 * larger fleet, heartbeats cost a host more than the requests that it serves.
 */
const FULL_MESH_HOSTS = 12;
/**
 * Time for which an unreachable host is skipped at first, in milliseconds: enough for a
 * stopped process to restart. Doubles with each further failure.
 */
const MIN_SKIP_MS = 2000;
/**
 * Upper bound of that time, in milliseconds: a host that was partitioned is to be used
 * again soon after.
 */
const MAX_SKIP_MS = 8000;
/** Age up to which a ranking is reused, in milliseconds. */
const RANKING_MS = 200;
/** Interval between checks of which hosts are alive, in a large fleet, in ms. */
const REFRESH_MS = 100;
/** Age up to which this host's position among all hosts is reused, in milliseconds. */
const TURN_MS = 100;
/** Share of the largest capacity from which a host counts as large. */
const LARGE_SHARE = 0.8;

/** The other entry hosts, with their addresses and whether they are alive. */
export class KnownHosts {
  private readonly hosts = new Map<string, KnownHost>();
  private readonly members = new Map<string, ReportedMembers>();
  private readonly skipped = new Map<string, SkippedHost>();
  private readonly rankings = new Map<string, Ranking>();
  private turn: Turn | undefined;
  private turnMs = Number.NEGATIVE_INFINITY;
  private refreshedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: KnownHostsOptions) {}

  /** Adds a host that another source names, or updates its address. */
  addAddress(address: HostAddress): void {
    const {self, clock, log} = this.options;
    const known = this.hosts.get(address.host);
    if (
      address.host === self.host ||
      address.address === known?.address.address
    ) {
      return;
    }
    if (known !== undefined && !this.isOld(known.reportedMs)) {
      // The address that a host reports itself takes precedence over other sources.
      return;
    }
    log.info('host_known', {peer: address.host, address: address.address});
    const aliveMs = clock.monotonicMs();
    this.rankings.clear();
    this.hosts.set(address.host, {
      address,
      aliveMs,
      reportedMs: Number.NEGATIVE_INFINITY,
    });
  }

  /** Adds a host that reports itself, or updates its address. */
  addSelfReport(address: HostAddress): void {
    const nowMs = this.options.clock.monotonicMs();
    const aliveMs = nowMs;
    this.hosts.set(address.host, {address, aliveMs, reportedMs: nowMs});
    this.skipped.delete(address.host);
  }

  /**
   * Sets the hosts that a peer reports as alive.
   * @param source - The peer.
   * @param scope - Which hosts the list covers.
   * @param version - Version of the list.
   * @param members - The list; `undefined` if this host has acknowledged the version.
   */
  addMembers(
    source: string,
    scope: MemberScope,
    version: number,
    members: readonly HostAddress[] | undefined,
  ): void {
    const reportedMs = this.options.clock.monotonicMs();
    if (members === undefined) {
      const known = this.members.get(source);
      if (known?.version === version && known.scope === scope) {
        known.reportedMs = reportedMs;
      }
      return;
    }
    for (const address of members) {
      this.addAddress(address);
    }
    const hosts = new Set(members.map(({host}) => host));
    this.members.set(source, {scope, version, hosts, reportedMs});
  }

  /** Returns the version of the list known from a peer, to acknowledge it. */
  getMembersVersion(source: string): number | undefined {
    return this.members.get(source)?.version;
  }

  /** Records that a host could not be reached, or stopped responding. */
  addUnreachable(address: string): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [host, known] of this.hosts) {
      if (known.address.address === address) {
        const lastMs = this.skipped.get(host)?.skipMs ?? MIN_SKIP_MS / 2;
        const skipMs = Math.min(MAX_SKIP_MS, lastMs * 2);
        this.skipped.set(host, {untilMs: nowMs + skipMs, skipMs});
        this.rankings.clear();
      }
    }
  }

  /** Discards all reports, after a pause that the monotonic clock has not counted. */
  forgetReports(): void {
    this.members.clear();
    for (const known of this.hosts.values()) {
      known.reportedMs = Number.NEGATIVE_INFINITY;
    }
  }

  /** Returns every host that may be serving, except this one. */
  listAddresses(): HostAddress[] {
    this.refresh();
    return [...this.hosts.values()].map(({address}) => address);
  }

  /** Returns the hosts that are alive, except this one. */
  listAlive(): HostAddress[] {
    this.refresh();
    const alive: HostAddress[] = [];
    for (const [host, {address}] of this.hosts) {
      if (this.isAlive(host)) {
        alive.push(address);
      }
    }
    return alive;
  }

  /** Returns the hosts of this data centre that report to this host. */
  listReportingHere(): HostAddress[] {
    const reporting: HostAddress[] = [];
    for (const {address, reportedMs} of this.hosts.values()) {
      const isHere = address.dataCentre === this.options.self.dataCentre;
      if (isHere && !this.isOld(reportedMs)) {
        reporting.push(address);
      }
    }
    return reporting;
  }

  /**
   * Returns the hosts that this host can confirm as alive: those that report to it, and
   * those that report to another aggregator. Hosts known only from a list of all hosts
   * are not included, or two hosts could keep a dead one alive for each other.
   */
  listConfirmed(): HostAddress[] {
    const confirmed: HostAddress[] = [];
    for (const [host, {address, reportedMs}] of this.hosts) {
      if (!this.isOld(reportedMs) || this.isMember(host, MemberScope.CENTRE)) {
        confirmed.push(address);
      }
    }
    return confirmed;
  }

  /** Returns how many hosts may be serving, this one included. */
  countHosts(): number {
    this.refresh();
    return this.hosts.size + 1;
  }

  /** Returns the position of this host among those that may be serving, by name. */
  getTurn(): Turn {
    const nowMs = this.options.clock.monotonicMs();
    if (this.turn === undefined || nowMs - this.turnMs >= TURN_MS) {
      this.turn = this.findTurn();
      this.turnMs = nowMs;
    }
    return this.turn;
  }

  /** Returns how many hosts are alive, this one included. */
  countAlive(): number {
    return this.listAlive().length + 1;
  }

  /** Returns whether all hosts that may be serving are alive. */
  hearsAll(): boolean {
    return this.countAlive() === this.countHosts();
  }

  /** Returns whether most of the hosts that may be serving are alive. */
  hearsMost(): boolean {
    return this.countAlive() > this.countHosts() / 2;
  }

  /** Returns whether a host is alive, as reported by itself or by a peer. */
  isAlive(host: string): boolean {
    if (
      !this.isOld(this.hosts.get(host)?.reportedMs ?? Number.NEGATIVE_INFINITY)
    ) {
      return true;
    }
    return (
      this.isMember(host, MemberScope.CENTRE) ||
      this.isMember(host, MemberScope.ALL)
    );
  }

  /** Returns whether a peer's list of all hosts includes a host. */
  isInListOfAll(host: string): boolean {
    return this.isMember(host, MemberScope.ALL);
  }

  /** Returns whether the fleet is too large for a full mesh of heartbeats. */
  isLarge(): boolean {
    this.refresh();
    return this.hosts.size >= FULL_MESH_HOSTS;
  }

  /**
   * Ranks the hosts of a data centre as aggregators: those that this host can reach,
   * large ones first. Hosts with the same knowledge compute the same ranking. Unreachable
   * hosts are tried again from time to time, or two parts of a partitioned data centre
   * would stay apart.
   * @param dataCentre - The data centre; this host's own includes this host.
   */
  rankAggregators(dataCentre: string): readonly HostAddress[] {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.rankings.get(dataCentre);
    if (known !== undefined && nowMs - known.createdMs < RANKING_MS) {
      return known.hosts;
    }
    const hosts = this.rank(dataCentre);
    this.rankings.set(dataCentre, {createdMs: nowMs, hosts});
    return hosts;
  }

  /** Returns whether this host is the aggregator of its data centre. */
  isAggregator(): boolean {
    const {self} = this.options;
    return this.rankAggregators(self.dataCentre)[0]?.host === self.host;
  }

  /** Returns this host's data centre. */
  getOwnCentre(): string {
    return this.options.self.dataCentre;
  }

  /** Lists the data centres of all known hosts, this host's own first. */
  listDataCentres(): string[] {
    const centres = new Set([this.options.self.dataCentre]);
    for (const {address} of this.hosts.values()) {
      centres.add(address.dataCentre);
    }
    return [...centres];
  }

  private rank(dataCentre: string): HostAddress[] {
    const {self} = this.options;
    const usable = this.listAddresses().filter(
      known => known.dataCentre === dataCentre && !this.isSkipped(known.host),
    );
    const candidates =
      self.dataCentre === dataCentre ? [...usable, self] : usable;
    const maxCapacity = Math.max(
      ...candidates.map(({capacity = 0}) => capacity),
      0,
    );
    const byName = new Map(candidates.map(known => [known.host, known]));
    const ranked = rankByRendezvous(dataCentre, [...byName.keys()]);
    const sorted = ranked.map(host => byName.get(host) ?? self);
    const isLarge = ({capacity = 0}: HostAddress) =>
      capacity >= maxCapacity * LARGE_SHARE;
    return [
      ...sorted.filter(isLarge),
      ...sorted.filter(known => !isLarge(known)),
    ];
  }

  private findTurn(): Turn {
    this.refresh();
    let place = 0;
    for (const host of this.hosts.keys()) {
      place += host < this.options.self.host ? 1 : 0;
    }
    return {hosts: this.hosts.size + 1, place};
  }

  private isMember(host: string, wanted: MemberScope): boolean {
    for (const {scope, hosts, reportedMs} of this.members.values()) {
      if (scope === wanted && !this.isOld(reportedMs) && hosts.has(host)) {
        return true;
      }
    }
    return false;
  }

  private isSkipped(host: string): boolean {
    const untilMs = this.skipped.get(host)?.untilMs ?? 0;
    return this.options.clock.monotonicMs() < untilMs;
  }

  private isOld(reportedMs: number): boolean {
    return this.options.clock.monotonicMs() - reportedMs > this.options.staleMs;
  }

  /** Records which hosts are alive, and drops those that have not been for `goneMs`. */
  private refresh(): void {
    const {clock, goneMs, log} = this.options;
    const nowMs = clock.monotonicMs();
    const isMany = this.hosts.size >= FULL_MESH_HOSTS;
    if (isMany && nowMs - this.refreshedMs < REFRESH_MS) {
      return;
    }
    this.refreshedMs = nowMs;
    for (const [host, known] of this.hosts) {
      if (this.isAlive(host)) {
        known.aliveMs = nowMs;
      } else if (nowMs - known.aliveMs > goneMs) {
        log.info('host_forgotten', {peer: host});
        this.rankings.clear();
        this.hosts.delete(host);
        this.members.delete(host);
        this.skipped.delete(host);
      }
    }
  }
}
