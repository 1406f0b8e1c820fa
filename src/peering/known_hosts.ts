import {Log} from '../log/index.js';
import {HostPosition} from '../limits/index.js';
import {rankByRendezvous} from '../random/index.js';
import {Clock} from '../time/index.js';
import {HostAddress} from './host_address.js';

/** Dependencies and timing of the known hosts. */
export interface KnownHostsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly self: HostAddress;
  /**
   * Age beyond which a report of a host, or a peer's list of hosts, is stale, in
   * milliseconds: it no longer shows that a host is alive.
   */
  readonly staleMs: number;
  /** Time since a host was last alive after which it expires, in milliseconds. */
  readonly expiryMs: number;
}

interface KnownHost {
  address: HostAddress;
  /**
   * When it was last found to be alive, or was added or got another address because
   * another source named it, monotonic milliseconds.
   */
  aliveMs: number;
  /** When its own last report arrived, monotonic milliseconds. */
  reportedMs: number;
}

/** The ranked hosts of a data centre. */
interface Ranking {
  /** Monotonic milliseconds. */
  readonly createdMs: number;
  readonly hosts: readonly HostAddress[];
}

/** Time for which the ranking of aggregators omits an unreachable host. */
interface SkippedHost {
  /** Monotonic milliseconds. */
  readonly untilMs: number;
  readonly skipMs: number;
}

/** Which hosts a list covers that a peer sends. */
export const MemberScope = {
  /** The peer, and the hosts of its data centre that report to it. */
  CENTRE: 'centre',
  /** The peer, and the hosts of all data centres that it reports as alive. */
  ALL: 'all',
} as const;
export type MemberScope = (typeof MemberScope)[keyof typeof MemberScope];

/** The last list of hosts of one peer, which reports them as alive. */
interface ReportedMembers {
  readonly scope: MemberScope;
  /** Version that the peer gave the list. */
  readonly version: number;
  readonly hosts: ReadonlySet<string>;
  /** When the peer last sent or confirmed the list, monotonic milliseconds. */
  reportedMs: number;
}

/**
 * Maximum number of hosts, this one included, with a full mesh of heartbeats. In a
 * larger fleet, heartbeats cost a host more than the requests that it serves. Since
 * `hosts` does not contain this host, the fleet is larger if its size is at least this.
 */
const FULL_MESH_HOSTS = 12;
/**
 * Time for which the ranking of aggregators omits an unreachable host at first, in
 * milliseconds: enough for a stopped process to restart. Doubles with each further
 * failure, up to `MAX_SKIP_MS`.
 */
const MIN_SKIP_MS = 2000;
/**
 * Maximum time for which the ranking of aggregators omits an unreachable host, in
 * milliseconds: a host that was partitioned is to be used again soon after.
 */
const MAX_SKIP_MS = 8000;
/** Age up to which a ranking is reused, in milliseconds. */
const RANKING_MS = 200;
/** Minimum interval between updates of `aliveMs` in a large fleet, in milliseconds. */
const REFRESH_MS = 100;
/** Age up to which the result of `getHostPosition` is reused, in milliseconds. */
const POSITION_MS = 100;
/** Share of the highest capacity from which a host is preferred as an aggregator. */
const HIGH_CAPACITY_SHARE = 0.8;

/** The other entry hosts, with their addresses and whether they are alive. */
export class KnownHosts {
  private readonly hosts = new Map<string, KnownHost>();
  private readonly members = new Map<string, ReportedMembers>();
  private readonly skipped = new Map<string, SkippedHost>();
  private readonly rankings = new Map<string, Ranking>();
  private position: HostPosition | undefined;
  private positionMs = Number.NEGATIVE_INFINITY;
  private refreshedMs = Number.NEGATIVE_INFINITY;
  private hasList = false;

  constructor(private readonly options: KnownHostsOptions) {}

  /**
   * Adds a host that another source than the host itself names, such as a peer, or
   * updates its address. Has no effect for this host, for an address that is known
   * already, and while the last report of the host itself is not stale.
   */
  addAddress(address: HostAddress): void {
    const {self, clock, log} = this.options;
    const known = this.hosts.get(address.host);
    if (address.host === self.host || isKnownAddress(address, known?.address)) {
      return;
    }
    if (known !== undefined && !this.isStale(known.reportedMs)) {
      // The address in a host's own report takes precedence over other sources.
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

  /** Adds a host whose own report has arrived, or updates its address. */
  addSelfReport(address: HostAddress): void {
    const nowMs = this.options.clock.monotonicMs();
    const aliveMs = nowMs;
    this.hosts.set(address.host, {address, aliveMs, reportedMs: nowMs});
    this.skipped.delete(address.host);
  }

  /**
   * Sets the list of hosts that a peer reports as alive.
   * @param source - The peer.
   * @param scope - Which hosts the list covers.
   * @param version - Version of the list.
   * @param members - The list; `undefined` if the peer omitted it because this host has
   *   acknowledged its version. Such a report renews the list that this host has of the
   *   peer if the scope and the version are the same; else it has no effect.
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

  /**
   * Returns the version of the last list of hosts that a peer sent; this host
   * acknowledges the list with it.
   */
  getMembersVersion(source: string): number | undefined {
    return this.members.get(source)?.version;
  }

  /**
   * Records that a host could not be reached, or stopped responding. The ranking of
   * aggregators then omits it for some time.
   * @param address - IP address and port of the host.
   */
  addUnreachable(address: string): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [host, known] of this.hosts) {
      if (known.address.address === address) {
        const previousSkipMs =
          this.skipped.get(host)?.skipMs ?? MIN_SKIP_MS / 2;
        const skipMs = Math.min(MAX_SKIP_MS, previousSkipMs * 2);
        this.skipped.set(host, {untilMs: nowMs + skipMs, skipMs});
        this.rankings.clear();
      }
    }
  }

  /**
   * Discards what hosts have reported, after the machine was suspended: its monotonic
   * clock does not count that time, so the reports look more recent than they are. The
   * hosts, their addresses and the times they were last alive are kept.
   */
  resetReports(): void {
    this.members.clear();
    for (const known of this.hosts.values()) {
      known.reportedMs = Number.NEGATIVE_INFINITY;
    }
  }

  /** Records that the list of all hosts has been read, and its hosts have been added. */
  markListRead(): void {
    this.hasList = true;
  }

  /**
   * Returns whether the list of all hosts has been read. Until then, a host that has started
   * in a partition knows only those that it reaches.
   */
  hasReadList(): boolean {
    return this.hasList;
  }

  /** Returns every known host that has not expired, alive or not, except this one. */
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

  /** Returns the hosts of this data centre whose own report to this host is not stale. */
  listReportingInOwnCentre(): HostAddress[] {
    const reporting: HostAddress[] = [];
    for (const {address, reportedMs} of this.hosts.values()) {
      const isInOwnCentre = address.dataCentre === this.options.self.dataCentre;
      if (isInOwnCentre && !this.isStale(reportedMs)) {
        reporting.push(address);
      }
    }
    return reporting;
  }

  /**
   * Returns the hosts that this host can confirm as alive: those that report to it, and
   * those on a peer's list of its data centre (`MemberScope.CENTRE`). Hosts known only
   * from a peer's list of all hosts are not included: two hosts could otherwise keep
   * reporting a terminated one to each other as alive.
   */
  listConfirmed(): HostAddress[] {
    const confirmed: HostAddress[] = [];
    for (const [host, {address, reportedMs}] of this.hosts) {
      if (
        !this.isStale(reportedMs) ||
        this.isMember(host, MemberScope.CENTRE)
      ) {
        confirmed.push(address);
      }
    }
    return confirmed;
  }

  /** Returns how many known hosts have not expired, alive or not, this one included. */
  countHosts(): number {
    this.refresh();
    return this.hosts.size + 1;
  }

  /**
   * Returns the position of this host, by name, among the known hosts that have not
   * expired. It determines which permits for rate-limited servers are this host's. A
   * position up to `POSITION_MS` old is reused.
   */
  getHostPosition(): HostPosition {
    const nowMs = this.options.clock.monotonicMs();
    if (this.position === undefined || nowMs - this.positionMs >= POSITION_MS) {
      this.position = this.findPosition();
      this.positionMs = nowMs;
    }
    return this.position;
  }

  /** Returns how many hosts are alive, this one included. */
  countAlive(): number {
    return this.listAlive().length + 1;
  }

  /** Returns whether all known hosts that have not expired are alive. */
  areAllAlive(): boolean {
    return this.countAlive() === this.countHosts();
  }

  /**
   * Returns whether more than half of the known hosts that have not expired are alive;
   * this host counts as one of them.
   */
  areMostAlive(): boolean {
    return this.countAlive() > this.countHosts() / 2;
  }

  /**
   * Returns whether a host is alive: it has reported itself, or a peer's list names it,
   * and the report or list is not stale.
   */
  isAlive(host: string): boolean {
    if (
      !this.isStale(
        this.hosts.get(host)?.reportedMs ?? Number.NEGATIVE_INFINITY,
      )
    ) {
      return true;
    }
    return (
      this.isMember(host, MemberScope.CENTRE) ||
      this.isMember(host, MemberScope.ALL)
    );
  }

  /** Returns whether a peer's list of all hosts that is not stale includes a host. */
  isInListOfAll(host: string): boolean {
    return this.isMember(host, MemberScope.ALL);
  }

  /** Returns whether the fleet is too large for a full mesh of heartbeats. */
  isLargeFleet(): boolean {
    this.refresh();
    return this.hosts.size >= FULL_MESH_HOSTS;
  }

  /**
   * Ranks the hosts of a data centre as aggregators, those with a high capacity first.
   * Hosts that know the same hosts and capacities, and omit the same hosts, compute the
   * same ranking. A host that could not be reached is omitted for a limited time only:
   * the two parts of a partitioned data centre would otherwise not connect again.
   * @param dataCentre - The data centre. The ranking of this host's own data centre
   *   includes this host.
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
    const hasHighCapacity = ({capacity = 0}: HostAddress) =>
      capacity >= maxCapacity * HIGH_CAPACITY_SHARE;
    return [
      ...sorted.filter(hasHighCapacity),
      ...sorted.filter(known => !hasHighCapacity(known)),
    ];
  }

  private findPosition(): HostPosition {
    this.refresh();
    let preceding = 0;
    for (const host of this.hosts.keys()) {
      preceding += host < this.options.self.host ? 1 : 0;
    }
    return {hosts: this.hosts.size + 1, place: preceding};
  }

  private isMember(host: string, wanted: MemberScope): boolean {
    for (const {scope, hosts, reportedMs} of this.members.values()) {
      if (scope === wanted && !this.isStale(reportedMs) && hosts.has(host)) {
        return true;
      }
    }
    return false;
  }

  private isSkipped(host: string): boolean {
    const untilMs = this.skipped.get(host)?.untilMs ?? 0;
    return this.options.clock.monotonicMs() < untilMs;
  }

  private isStale(reportedMs: number): boolean {
    return this.options.clock.monotonicMs() - reportedMs > this.options.staleMs;
  }

  /** Records which hosts are alive, and removes those that have expired. */
  private refresh(): void {
    const {clock, expiryMs, log} = this.options;
    const nowMs = clock.monotonicMs();
    const exceedsFullMesh = this.hosts.size >= FULL_MESH_HOSTS;
    if (exceedsFullMesh && nowMs - this.refreshedMs < REFRESH_MS) {
      return;
    }
    this.refreshedMs = nowMs;
    for (const [host, known] of this.hosts) {
      if (this.isAlive(host)) {
        known.aliveMs = nowMs;
      } else if (nowMs - known.aliveMs > expiryMs) {
        log.info('host_forgotten', {peer: host});
        this.rankings.clear();
        this.hosts.delete(host);
        this.members.delete(host);
        this.skipped.delete(host);
      }
    }
  }
}

/**
 * Returns whether an address tells nothing that is not known. Hosts of the previous release
 * pass addresses on without the one for forwarded requests.
 */
function isKnownAddress(
  {address, forwardingAddress}: HostAddress,
  known: HostAddress | undefined,
): boolean {
  const tellsMore =
    forwardingAddress !== undefined &&
    forwardingAddress !== known?.forwardingAddress;
  return address === known?.address && !tellsMore;
}
