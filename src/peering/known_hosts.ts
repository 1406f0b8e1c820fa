import {Log} from '../log/index.js';
import {Turn} from '../limits/index.js';
import {rankByRendezvous} from '../random/index.js';
import {Clock} from '../time/index.js';
import {HostAddress} from './host_address.js';

/** What the known hosts work with. */
export interface KnownHostsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly self: HostAddress;
  /** Age at which word of a host counts no longer, in milliseconds. */
  readonly staleMs: number;
  /** Silence after which a host is taken to be gone for good, in ms. */
  readonly goneMs: number;
}

/** A host, and the last word of it. */
interface KnownHost {
  address: HostAddress;
  /** When it was last known to be there, monotonic milliseconds. */
  aliveMs: number;
  /** When it told of itself, monotonic milliseconds. */
  toldMs: number;
}

/** The hosts of a data centre as they were ranked. */
interface Ranked {
  /** Monotonic milliseconds. */
  readonly madeMs: number;
  readonly hosts: readonly HostAddress[];
}

/** Until when a host is passed over that could not be reached. */
interface Avoided {
  /** Monotonic milliseconds. */
  readonly untilMs: number;
  readonly spanMs: number;
}

/** Whose hosts a peer tells of. */
export const MemberScope = {
  /** Those of its data centre that tell it themselves. */
  CENTRE: 'centre',
  /** All that it knows to be there. */
  ALL: 'all',
} as const;
export type MemberScope = (typeof MemberScope)[keyof typeof MemberScope];

/** Hosts that a peer has told are there. */
interface ToldMembers {
  readonly scope: MemberScope;
  /** Number that the peer gave the list. */
  readonly version: number;
  readonly hosts: ReadonlySet<string>;
  toldMs: number;
}

/**
 * Hosts in all up to which everyone hears everyone: beyond, heartbeats cost a
 * host more than the requests that it serves.
 */
const FULL_MESH_HOSTS = 12;
/**
 * Time for which a host that could not be reached is passed over, in
 * milliseconds: until a stopped process is back. Twice as long each time after.
 */
const AVOID_MS = 2000;
/** Longest such time, in milliseconds: a host that was cut off is wanted back. */
const MAX_AVOID_MS = 8000;
/** Age up to which a rank is not made anew, in milliseconds. */
const RANK_MS = 200;
/** Pause between looks at who is there, of many, in milliseconds. */
const REFRESH_MS = 100;
/** Age up to which this host's turn is not worked out anew, in milliseconds. */
const TURN_MS = 100;
/** Hosts with this part of the largest capacity count as large, too. */
const LARGE_SHARE = 0.8;

/** The other entry hosts: where they are, and whether they are there. */
export class KnownHosts {
  private readonly hosts = new Map<string, KnownHost>();
  private readonly members = new Map<string, ToldMembers>();
  private readonly avoided = new Map<string, Avoided>();
  private readonly ranks = new Map<string, Ranked>();
  private turn: Turn | undefined;
  private turnMs = Number.NEGATIVE_INFINITY;
  private refreshedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: KnownHostsOptions) {}

  /** Takes in that a host exists. */
  addAddress(address: HostAddress): void {
    const {self, clock, log} = this.options;
    const known = this.hosts.get(address.host);
    if (
      address.host === self.host ||
      address.address === known?.address.address
    ) {
      return;
    }
    if (known !== undefined && !this.isOld(known.toldMs)) {
      // Its own word of where it is goes before others'.
      return;
    }
    log.info('host_known', {peer: address.host, address: address.address});
    const aliveMs = clock.monotonicMs();
    this.ranks.clear();
    this.hosts.set(address.host, {
      address,
      aliveMs,
      toldMs: Number.NEGATIVE_INFINITY,
    });
  }

  /** Takes in a host's own word of itself. */
  addHeard(address: HostAddress): void {
    const nowMs = this.options.clock.monotonicMs();
    const aliveMs = nowMs;
    this.hosts.set(address.host, {address, aliveMs, toldMs: nowMs});
    this.avoided.delete(address.host);
  }

  /**
   * Takes in which hosts a peer hears.
   * @param source - The peer.
   * @param scope - Whose hosts these are.
   * @param version - Number of the list.
   * @param members - The list; left out if this host has acknowledged the number.
   */
  addMembers(
    source: string,
    scope: MemberScope,
    version: number,
    members: readonly HostAddress[] | undefined,
  ): void {
    const toldMs = this.options.clock.monotonicMs();
    if (members === undefined) {
      const known = this.members.get(source);
      if (known?.version === version && known.scope === scope) {
        known.toldMs = toldMs;
      }
      return;
    }
    for (const address of members) {
      this.addAddress(address);
    }
    const hosts = new Set(members.map(({host}) => host));
    this.members.set(source, {scope, version, hosts, toldMs});
  }

  /** Returns the number of the list that is known of a peer, to acknowledge it. */
  getMembersVersion(source: string): number | undefined {
    return this.members.get(source)?.version;
  }

  /** Notes that a host could not be reached, or fell silent. */
  addUnreachable(address: string): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [host, known] of this.hosts) {
      if (known.address.address === address) {
        const lastMs = this.avoided.get(host)?.spanMs ?? AVOID_MS / 2;
        const spanMs = Math.min(MAX_AVOID_MS, lastMs * 2);
        this.avoided.set(host, {untilMs: nowMs + spanMs, spanMs});
        this.ranks.clear();
      }
    }
  }

  /** Lets go of what was heard, after a pause that no clock has counted. */
  forgetWord(): void {
    this.members.clear();
    for (const known of this.hosts.values()) {
      known.toldMs = Number.NEGATIVE_INFINITY;
    }
  }

  /** Returns every host that may be serving, but this one. */
  listAddresses(): HostAddress[] {
    this.refresh();
    return [...this.hosts.values()].map(({address}) => address);
  }

  /** Returns the hosts that are there, but this one. */
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

  /** Returns the hosts of this data centre that tell this host themselves. */
  listHeardHere(): HostAddress[] {
    const heard: HostAddress[] = [];
    for (const {address, toldMs} of this.hosts.values()) {
      const isHere = address.dataCentre === this.options.self.dataCentre;
      if (isHere && !this.isOld(toldMs)) {
        heard.push(address);
      }
    }
    return heard;
  }

  /**
   * Returns the hosts that this host can vouch for: those that tell it themselves,
   * and those that tell another aggregator. What it has from word of all hosts is
   * not told on, or two hosts could keep a dead one alive for each other.
   */
  listVouched(): HostAddress[] {
    const vouched: HostAddress[] = [];
    for (const [host, {address, toldMs}] of this.hosts) {
      if (!this.isOld(toldMs) || this.isMember(host, MemberScope.CENTRE)) {
        vouched.push(address);
      }
    }
    return vouched;
  }

  /** Returns how many hosts may be serving, this one included. */
  countHosts(): number {
    this.refresh();
    return this.hosts.size + 1;
  }

  /** Returns which of the hosts that may be serving this one is, by their names. */
  getTurn(): Turn {
    const nowMs = this.options.clock.monotonicMs();
    if (this.turn === undefined || nowMs - this.turnMs >= TURN_MS) {
      this.turn = this.findTurn();
      this.turnMs = nowMs;
    }
    return this.turn;
  }

  /** Returns how many hosts are there, this one included. */
  countAlive(): number {
    return this.listAlive().length + 1;
  }

  /** Tells whether all hosts that may be serving are there. */
  hearsAll(): boolean {
    return this.countAlive() === this.countHosts();
  }

  /** Tells whether most of the hosts that may be serving are there. */
  hearsMost(): boolean {
    return this.countAlive() > this.countHosts() / 2;
  }

  /** Tells whether a host is there, by its own word or a peer's. */
  isAlive(host: string): boolean {
    if (!this.isOld(this.hosts.get(host)?.toldMs ?? Number.NEGATIVE_INFINITY)) {
      return true;
    }
    return (
      this.isMember(host, MemberScope.CENTRE) ||
      this.isMember(host, MemberScope.ALL)
    );
  }

  /** Tells whether a peer that knows of all hosts told of this one. */
  isTold(host: string): boolean {
    return this.isMember(host, MemberScope.ALL);
  }

  /** Tells whether there are too many hosts for everyone to hear everyone. */
  isLarge(): boolean {
    this.refresh();
    return this.hosts.size >= FULL_MESH_HOSTS;
  }

  /**
   * Ranks the hosts of a data centre for summing up what its hosts tell: those
   * that this host can reach, large ones first. All that know the same rank them
   * the same. One that nobody hears is tried again from time to time: else two
   * parts of a data centre that lost sight of each other would stay apart.
   * @param dataCentre - The data centre; this host's own includes this host.
   */
  rankAggregators(dataCentre: string): readonly HostAddress[] {
    const nowMs = this.options.clock.monotonicMs();
    const known = this.ranks.get(dataCentre);
    if (known !== undefined && nowMs - known.madeMs < RANK_MS) {
      return known.hosts;
    }
    const hosts = this.rank(dataCentre);
    this.ranks.set(dataCentre, {madeMs: nowMs, hosts});
    return hosts;
  }

  /** Tells whether this host sums up what those of its data centre tell. */
  isAggregator(): boolean {
    const {self} = this.options;
    return this.rankAggregators(self.dataCentre)[0]?.host === self.host;
  }

  /** Returns this host's data centre. */
  getOwnCentre(): string {
    return this.options.self.dataCentre;
  }

  /** Lists the data centres that hosts are known of, this host's own first. */
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
      known => known.dataCentre === dataCentre && !this.isAvoided(known.host),
    );
    const candidates =
      self.dataCentre === dataCentre ? [...usable, self] : usable;
    const most = Math.max(...candidates.map(({capacity = 0}) => capacity), 0);
    const byName = new Map(candidates.map(known => [known.host, known]));
    const ranked = rankByRendezvous(dataCentre, [...byName.keys()]);
    const sorted = ranked.map(host => byName.get(host) ?? self);
    const isLarge = ({capacity = 0}: HostAddress) =>
      capacity >= most * LARGE_SHARE;
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
    for (const {scope, hosts, toldMs} of this.members.values()) {
      if (scope === wanted && !this.isOld(toldMs) && hosts.has(host)) {
        return true;
      }
    }
    return false;
  }

  private isAvoided(host: string): boolean {
    const untilMs = this.avoided.get(host)?.untilMs ?? 0;
    return this.options.clock.monotonicMs() < untilMs;
  }

  private isOld(toldMs: number): boolean {
    return this.options.clock.monotonicMs() - toldMs > this.options.staleMs;
  }

  /** Notes who is there, and forgets who has not been for long. */
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
        this.ranks.clear();
        this.hosts.delete(host);
        this.members.delete(host);
        this.avoided.delete(host);
      }
    }
  }
}
