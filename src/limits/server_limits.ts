import {listChangedSince} from '../changes/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {DemandMeter} from '../quota/index.js';
import {hashText} from '../random/index.js';
import {Clock} from '../time/index.js';
import {CarriedTime} from './carried_time.js';
import {MAX_TOLD, ToldLimit} from './limit_news.js';
import {PERMIT_LIFE_MS} from './permit_schedule.js';
import {RankDemand} from './rank_demand.js';
import {StatedLimit} from './stated_limit.js';
import {TrackedLimit} from './tracked_limit.js';
import {Turn} from './turn.js';

/** What the limits work with. */
export interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns true time in Unix milliseconds, on which all hosts agree nearly. */
  readonly getTrueMs: () => number;
  /** Returns which of all hosts this one is. */
  readonly getTurn: () => Turn;
  /** Tells whether a start of a server is still remembered. */
  readonly isKnownServer: (server: string) => boolean;
}

/** Limits that have changed, and up to which version. */
export interface LimitPage {
  readonly version: number;
  readonly limits: ToldLimit[];
}

/** Time from the start in which this host learns of the others, in milliseconds. */
const LEARN_MS = 1200;
/** Time for which the limit of a server that is gone is remembered, in milliseconds. */
const FORGET_MS = 60_000;
/** Pause between looks for what may be forgotten, in milliseconds. */
const TRIM_MS = 10_000;
/** Servers whose limits are remembered. */
const MAX_TRACKED = 4096;
/** Servers whose unusable statements are remembered, so that each is logged once. */
const MAX_FAULTY = 1000;
/** Longest time after which a caller is told to come back, in milliseconds. */
const MAX_RETURN_MS = 10_000;
const MS_PER_SECOND = 1000;
const SHARE_DIGITS = 3;

/**
 * Limits that servers name: how many requests a second each takes from all hosts
 * together. Hosts tell each other what answers state, and share a limit by turns: see
 * `PermitSchedule`.
 */
export class ServerLimits {
  /** By the server's start; the least recently changed first. */
  private readonly tracked = new Map<string, TrackedLimit>();
  private readonly faulty = new Set<string>();
  private readonly listeners: (() => void)[] = [];
  private readonly refused: DemandMeter;
  private readonly demand: RankDemand;
  private readonly time: CarriedTime;
  private readonly startMs: number;
  private trimmedMs: number;
  private version = 0;

  constructor(private readonly options: ServerLimitsOptions) {
    const {clock, metrics} = options;
    this.startMs = clock.monotonicMs();
    this.trimmedMs = this.startMs;
    this.time = new CarriedTime(clock, options.getTrueMs);
    this.refused = new DemandMeter(clock);
    this.demand = new RankDemand(clock);
    metrics.addGauge(
      'servers_limited',
      'Servers that name a limit of requests a second',
      () => this.countNamed(),
    );
    metrics.addCounter(
      'limit_refused',
      'Requests refused since every server of a service limits what it takes',
    );
  }

  /** Has a function called when this host has seen a limit change. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Tells whether any server may be limited. */
  hasAny(): boolean {
    if (this.tracked.size > 0) {
      this.trim();
    }
    return this.tracked.size > 0;
  }

  /** Returns a server's limit in requests a second; absent where it names none. */
  getLimit(server: string): number | undefined {
    return this.tracked.get(server)?.getNamed();
  }

  /** Counts the servers, of some, that have named a limit for at least a time. */
  countLimitedFor(servers: Iterable<string>, ms: number): number {
    let count = 0;
    for (const server of servers) {
      const limit = this.tracked.get(server);
      const isNamed = limit?.getNamed() !== undefined;
      count += isNamed && limit.getAgeMs() >= ms ? 1 : 0;
    }
    return count;
  }

  /** Counts a request for a service, by its rank; 0 is the most urgent. */
  addRequest(service: string, rank: number): void {
    if (this.hasAny()) {
      this.demand.add(service, rank);
    }
  }

  /** Tells whether what a server gets is bounded now. */
  isLimited(server: string): boolean {
    return this.tracked.get(server)?.getRate() !== undefined;
  }

  /** Lists the servers, of any service, that there is no permit for now. */
  listUsedUp(): string[] {
    const usedUp: string[] = [];
    for (const server of this.tracked.keys()) {
      if (this.countHeld(server) === 0) {
        usedUp.push(server);
      }
    }
    return usedUp;
  }

  /**
   * Lists the servers that a request must not be sent to now, where all that it may go to
   * are limited: those without a permit. Permits are left for more urgent requests, as
   * many as are expected while these last.
   * @param service - The service.
   * @param servers - Servers that it may go to otherwise.
   * @param rank - Rank of the request; 0 is the most urgent.
   */
  listWithheld(
    service: string,
    servers: readonly string[],
    rank: number,
  ): readonly string[] {
    const held = servers.map(server => this.countHeld(server));
    const sum = held.reduce((all, count) => all + count, 0);
    const reserved =
      (this.demand.sumMoreUrgent(service, rank) * PERMIT_LIFE_MS) /
      MS_PER_SECOND;
    if (sum < 1 + reserved) {
      return servers;
    }
    return servers.filter((_server, index) => held[index] === 0);
  }

  /** Tells whether a server should be sent any request, to hear whether it is limited. */
  isTrialDue(server: string): boolean {
    const limit = this.getPlanned(server);
    return (
      limit !== undefined &&
      this.hasLearnt() &&
      limit.schedule.holdsTrial(this.time.getMs())
    );
  }

  /** Notes that a server is sent a request. */
  take(server: string): void {
    this.getPlanned(server)?.schedule.take(this.time.getMs());
  }

  /**
   * Counts a request that is refused since all servers it may go to are limited.
   * @param service - The service.
   * @param servers - These servers.
   * @returns Time after which those refused before it have had their turn, in
   *   milliseconds.
   */
  addRefused(service: string, servers: readonly string[]): number {
    this.refused.add(service, 1);
    this.options.metrics.increment('limit_refused', {service});
    const nowMs = this.time.getMs();
    let perSecond = 0;
    let waitMs = MAX_RETURN_MS;
    for (const server of servers) {
      const schedule = this.getPlanned(server)?.schedule;
      perSecond += schedule?.getOwnRate() ?? 0;
      waitMs = Math.min(waitMs, schedule?.getWaitMs(nowMs) ?? 0);
    }
    const ahead = this.refused.get(service);
    const aheadMs = perSecond > 0 ? (ahead / perSecond) * MS_PER_SECOND : 0;
    return Math.min(MAX_RETURN_MS, waitMs + aheadMs);
  }

  /**
   * Takes in what an answer states.
   * @param server - Start of the server that answered.
   * @param stated - What it states.
   * @param sentMs - When its request was sent, monotonic milliseconds.
   */
  addAnswer(server: string, stated: StatedLimit, sentMs: number): void {
    if (stated.isErr) {
      this.noteFault(server, stated.error);
      return;
    }
    const perSecond = stated.value.unwrapOr(undefined);
    const known = this.tracked.get(server);
    if (known === undefined && perSecond === undefined) {
      return;
    }
    const limit = known ?? this.createLimit(server);
    if (!limit.isChangedBy(perSecond, sentMs)) {
      return;
    }
    const revision = limit.revision + 1;
    this.change(limit, {server, perSecond, revision, ageMs: 0}, 'answer');
    for (const listener of this.listeners) {
      listener();
    }
  }

  /** Takes in what a peer tells. Of two changes with one number the lower one counts. */
  addTold(told: readonly ToldLimit[], peer: string): void {
    for (const news of told) {
      const known = this.tracked.get(news.server);
      const limit = known ?? this.createLimit(news.server);
      const isLower =
        (news.perSecond ?? Infinity) < (limit.getNamed() ?? Infinity);
      const isNews =
        news.revision > limit.revision ||
        (news.revision === limit.revision && isLower);
      if (isNews) {
        this.change(limit, news, `peer:${peer}`);
      }
    }
  }

  /** Returns the number of the last change. */
  getVersion(): number {
    return this.version;
  }

  /** Tells what has changed since a version, the oldest changes first. */
  listSince(version: number): LimitPage {
    const page = listChangedSince(this.tracked, {
      since: version,
      latest: this.version,
      most: MAX_TOLD,
    });
    const limits = page.changed.map(([server, limit]) => ({
      server,
      perSecond: limit.getNamed(),
      revision: limit.revision,
      ageMs: Math.max(0, limit.getAgeMs()),
    }));
    return {version: page.version, limits};
  }

  /** Returns the permits to send a server requests; infinite where it has no limit. */
  private countHeld(server: string): number {
    const limit = this.getPlanned(server);
    if (limit === undefined) {
      return Infinity;
    }
    return this.hasLearnt() ? limit.schedule.countHeld(this.time.getMs()) : 0;
  }

  private createLimit(server: string): TrackedLimit {
    return new TrackedLimit(this.options.clock, hashText(server));
  }

  private change(
    limit: TrackedLimit,
    {server, perSecond, revision, ageMs}: ToldLimit,
    source: string,
  ): void {
    const before = limit.getNamed();
    limit.set(perSecond, ageMs);
    limit.revision = revision;
    limit.version = ++this.version;
    this.tracked.delete(server);
    this.tracked.set(server, limit);
    const [oldest] = this.tracked.keys();
    if (this.tracked.size > MAX_TRACKED && oldest !== undefined) {
      this.tracked.delete(oldest);
    }
    // Permits are issued from now on, whether there is a request or not.
    this.getPlanned(server);
    if (before === perSecond) {
      return;
    }
    const {hosts} = this.options.getTurn();
    this.options.log.warn('server_limit', {
      server,
      per_second: perSecond ?? 'none',
      before: before ?? 'none',
      revision,
      age_ms: ageMs.toFixed(0),
      source,
      hosts,
      own_per_second: ((perSecond ?? 0) / hosts).toFixed(SHARE_DIGITS),
    });
  }

  /** Returns the limit of a server that is bounded, with its permits as they are now. */
  private getPlanned(server: string): TrackedLimit | undefined {
    const limit = this.tracked.get(server);
    const perSecond = limit?.getRate();
    if (limit === undefined || perSecond === undefined) {
      return undefined;
    }
    const {hosts, place} = this.options.getTurn();
    const plan = {perSecond, hosts, place: (place + limit.offset) % hosts};
    limit.schedule.setPlan(plan, this.time.getMs());
    return limit;
  }

  /** Tells whether this host has been there for long enough to know its turn. */
  private hasLearnt(): boolean {
    return this.options.clock.monotonicMs() - this.startMs >= LEARN_MS;
  }

  private countNamed(): number {
    let count = 0;
    for (const limit of this.tracked.values()) {
      count += limit.getNamed() === undefined ? 0 : 1;
    }
    return count;
  }

  /** Forgets limits that have long ended, and those of servers that are gone. */
  private trim(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.trimmedMs < TRIM_MS) {
      return;
    }
    this.trimmedMs = nowMs;
    for (const [server, limit] of this.tracked) {
      const isOver =
        limit.getNamed() === undefined || !this.options.isKnownServer(server);
      if (isOver && limit.getAgeMs() > FORGET_MS) {
        this.tracked.delete(server);
      }
    }
  }

  private noteFault(server: string, fault: string): void {
    if (this.faulty.has(server) || this.faulty.size >= MAX_FAULTY) {
      return;
    }
    this.faulty.add(server);
    this.options.log.warn('server_limit_unusable', {server, detail: fault});
  }
}
