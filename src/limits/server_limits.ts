import {listChangedSince} from '../changes/index.js';
import {FirstOccurrences, Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {DemandMeter} from '../quota/index.js';
import {hashText} from '../random/index.js';
import {Clock} from '../time/index.js';
import {ExtrapolatedTime} from './extrapolated_time.js';
import {MAX_LIMITS_PER_MESSAGE, ReportedLimit} from './limit_updates.js';
import {PERMIT_LIFETIME_MS} from './permit_schedule.js';
import {RankDemand} from './rank_demand.js';
import {StatedLimit} from './stated_limit.js';
import {TrackedLimit} from './tracked_limit.js';
import {HostPosition} from './host_position.js';

/** Dependencies of `ServerLimits`. */
export interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns reference time in Unix milliseconds; it is nearly equal at all hosts. */
  readonly getReferenceMs: () => number;
  /** Returns the position of this host among all hosts. */
  readonly getHostPosition: () => HostPosition;
  /** Returns whether an incarnation of a server is still known. */
  readonly isKnownServer: (server: string) => boolean;
}

/** Changed limits, and the version up to which they are complete. */
export interface LimitPage {
  readonly version: number;
  readonly limits: ReportedLimit[];
}

/** Time after the start in which this host discovers the others, in milliseconds. */
const DISCOVERY_MS = 1200;
/**
 * Time after its last change at which an ended limit, or that of an unknown server, is
 * removed, in milliseconds.
 */
const RETENTION_MS = 60_000;
/** Interval between checks for limits that can be removed, in milliseconds. */
const TRIM_INTERVAL_MS = 10_000;
/** Maximum number of servers whose limits are kept. */
const MAX_TRACKED_SERVERS = 4096;
/** Maximum time after which a caller is asked to retry, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;
const MS_PER_SECOND = 1000;
const RATE_DIGITS = 3;

/**
 * Limits that servers state: how many requests per second each accepts from all hosts
 * together. Hosts report to each other what answers state, and share a limit by issuing
 * permits round-robin: see `PermitSchedule`.
 */
export class ServerLimits {
  /** By server incarnation; the least recently changed first. */
  private readonly tracked = new Map<string, TrackedLimit>();
  private readonly faulty = new FirstOccurrences();
  private readonly listeners: (() => void)[] = [];
  private readonly refused: DemandMeter;
  private readonly demand: RankDemand;
  private readonly time: ExtrapolatedTime;
  private readonly startedMs: number;
  private lastTrimMs: number;
  private version = 0;

  constructor(private readonly options: ServerLimitsOptions) {
    const {clock, metrics} = options;
    this.startedMs = clock.monotonicMs();
    this.lastTrimMs = this.startedMs;
    this.time = new ExtrapolatedTime(clock, options.getReferenceMs);
    this.refused = new DemandMeter(clock);
    this.demand = new RankDemand(clock);
    metrics.addGauge(
      'servers_limited',
      'Servers that name a limit of requests a second',
      () => this.countLimited(),
    );
    metrics.addCounter(
      'limit_refused',
      'Requests refused since every server of a service limits what it takes',
    );
  }

  /** Adds a function that is called when an answer to this host changes a limit. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns whether any server may be limited. */
  hasAny(): boolean {
    if (this.tracked.size > 0) {
      this.trim();
    }
    return this.tracked.size > 0;
  }

  /** Returns a server's limit in requests per second; absent if it states none. */
  getLimit(server: string): number | undefined {
    return this.tracked.get(server)?.getStated();
  }

  /**
   * Counts the servers whose limit has been in effect unchanged for at least a time.
   * @param servers - Servers to check.
   * @param ms - Minimum time since the last change, in milliseconds.
   */
  countLimitedFor(servers: Iterable<string>, ms: number): number {
    let count = 0;
    for (const server of servers) {
      const limit = this.tracked.get(server);
      const isLimited = limit?.getStated() !== undefined;
      count += isLimited && limit.getAgeMs() >= ms ? 1 : 0;
    }
    return count;
  }

  /** Counts a request for a service by its urgency rank; 0 is the most urgent. */
  addRequest(service: string, rank: number): void {
    if (this.hasAny()) {
      this.demand.add(service, rank);
    }
  }

  /** Returns whether the rate of requests to a server is bounded now. */
  isLimited(server: string): boolean {
    return this.tracked.get(server)?.getRate() !== undefined;
  }

  /** Lists the servers, of any service, for which no permit is available now. */
  listWithoutPermit(): string[] {
    const usedUp: string[] = [];
    for (const server of this.tracked.keys()) {
      if (this.countAvailable(server) === 0) {
        usedUp.push(server);
      }
    }
    return usedUp;
  }

  /**
   * Lists the servers to which a request must not be sent now, if all its candidates are
   * limited: those without a permit. Permits are reserved for more urgent requests, as
   * many as are expected within the lifetime of a permit.
   * @param service - The service.
   * @param servers - The candidates for the request.
   * @param rank - Urgency rank of the request; 0 is the most urgent.
   * @returns All candidates if every permit is reserved, else those without a permit.
   */
  listExcluded(
    service: string,
    servers: readonly string[],
    rank: number,
  ): readonly string[] {
    const available = servers.map(server => this.countAvailable(server));
    const sum = available.reduce((all, count) => all + count, 0);
    const reserved =
      (this.demand.sumMoreUrgent(service, rank) * PERMIT_LIFETIME_MS) /
      MS_PER_SECOND;
    if (sum < 1 + reserved) {
      return servers;
    }
    return servers.filter((_server, index) => available[index] === 0);
  }

  /** Returns whether any request should go to a server, to check if it is still limited. */
  isProbeDue(server: string): boolean {
    const limit = this.getBoundLimit(server);
    return (
      limit !== undefined &&
      this.hasDiscoveredHosts() &&
      limit.schedule.holdsProbePermit(this.time.getMs())
    );
  }

  /** Uses a permit for a request that is sent to a server. */
  takePermit(server: string): void {
    this.getBoundLimit(server)?.schedule.take(this.time.getMs());
  }

  /**
   * Counts a request that is refused because all its candidate servers are limited.
   * @param service - The service.
   * @param servers - The candidate servers.
   * @returns Estimated time until the requests refused before it could be served, in
   *   milliseconds.
   */
  addRefused(service: string, servers: readonly string[]): number {
    this.refused.add(service, 1);
    this.options.metrics.increment('limit_refused', {service});
    const nowMs = this.time.getMs();
    let perSecond = 0;
    let waitMs = MAX_RETRY_AFTER_MS;
    for (const server of servers) {
      const schedule = this.getBoundLimit(server)?.schedule;
      perSecond += schedule?.getOwnRate() ?? 0;
      waitMs = Math.min(waitMs, schedule?.getWaitMs(nowMs) ?? 0);
    }
    const refusedBefore = this.refused.get(service);
    const queuedMs =
      perSecond > 0 ? (refusedBefore / perSecond) * MS_PER_SECOND : 0;
    return Math.min(MAX_RETRY_AFTER_MS, waitMs + queuedMs);
  }

  /**
   * Applies the limit that an answer states.
   * @param server - Incarnation of the server that answered.
   * @param stated - The limit in the answer.
   * @param sentMs - When its request was sent, monotonic milliseconds.
   */
  addAnswer(server: string, stated: StatedLimit, sentMs: number): void {
    if (stated.isErr) {
      this.logUnusable(server, stated.error);
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

  /** Merges the limits that a peer reports. Of two with the same revision the lower wins. */
  mergeReported(reported: readonly ReportedLimit[], peer: string): void {
    for (const update of reported) {
      const known = this.tracked.get(update.server);
      const limit = known ?? this.createLimit(update.server);
      const isLower =
        (update.perSecond ?? Infinity) < (limit.getStated() ?? Infinity);
      const isNewer =
        update.revision > limit.revision ||
        (update.revision === limit.revision && isLower);
      if (isNewer) {
        this.change(limit, update, `peer:${peer}`);
      }
    }
  }

  /** Returns the number of the last change. */
  getVersion(): number {
    return this.version;
  }

  /** Lists the limits that have changed since a version, the oldest changes first. */
  listSince(version: number): LimitPage {
    const page = listChangedSince(this.tracked, {
      since: version,
      latest: this.version,
      maxEntries: MAX_LIMITS_PER_MESSAGE,
    });
    const limits = page.changed.map(([server, limit]) => ({
      server,
      perSecond: limit.getStated(),
      revision: limit.revision,
      ageMs: Math.max(0, limit.getAgeMs()),
    }));
    return {version: page.version, limits};
  }

  /** Returns the available permits for a server; infinite if it is not limited. */
  private countAvailable(server: string): number {
    const limit = this.getBoundLimit(server);
    if (limit === undefined) {
      return Infinity;
    }
    return this.hasDiscoveredHosts()
      ? limit.schedule.countAvailable(this.time.getMs())
      : 0;
  }

  private createLimit(server: string): TrackedLimit {
    return new TrackedLimit(this.options.clock, hashText(server));
  }

  private change(
    limit: TrackedLimit,
    {server, perSecond, revision, ageMs}: ReportedLimit,
    source: string,
  ): void {
    const before = limit.getStated();
    limit.set(perSecond, ageMs);
    limit.revision = revision;
    limit.version = ++this.version;
    this.tracked.delete(server);
    this.tracked.set(server, limit);
    const [oldest] = this.tracked.keys();
    if (this.tracked.size > MAX_TRACKED_SERVERS && oldest !== undefined) {
      this.tracked.delete(oldest);
    }
    // Start issuing permits now, even without a request.
    this.getBoundLimit(server);
    if (before === perSecond) {
      return;
    }
    const {hosts} = this.options.getHostPosition();
    this.options.log.warn('server_limit', {
      server,
      per_second: perSecond ?? 'none',
      before: before ?? 'none',
      revision,
      age_ms: ageMs.toFixed(0),
      source,
      hosts,
      own_per_second: ((perSecond ?? 0) / hosts).toFixed(RATE_DIGITS),
    });
  }

  /** Returns the limit of a server, with its permit plan updated, if it is bounded now. */
  private getBoundLimit(server: string): TrackedLimit | undefined {
    const limit = this.tracked.get(server);
    const perSecond = limit?.getRate();
    if (limit === undefined || perSecond === undefined) {
      return undefined;
    }
    const {hosts, place} = this.options.getHostPosition();
    const plan = {perSecond, hosts, place: (place + limit.offset) % hosts};
    limit.schedule.setPlan(plan, this.time.getMs());
    return limit;
  }

  /** Returns whether this host has run long enough to know its position among the hosts. */
  private hasDiscoveredHosts(): boolean {
    return this.options.clock.monotonicMs() - this.startedMs >= DISCOVERY_MS;
  }

  private countLimited(): number {
    let count = 0;
    for (const limit of this.tracked.values()) {
      count += limit.getStated() === undefined ? 0 : 1;
    }
    return count;
  }

  /** Removes limits that have ended and limits of servers that are no longer known. */
  private trim(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.lastTrimMs < TRIM_INTERVAL_MS) {
      return;
    }
    this.lastTrimMs = nowMs;
    for (const [server, limit] of this.tracked) {
      const isOver =
        limit.getStated() === undefined || !this.options.isKnownServer(server);
      if (isOver && limit.getAgeMs() > RETENTION_MS) {
        this.tracked.delete(server);
      }
    }
  }

  private logUnusable(server: string, detail: string): void {
    if (this.faulty.add(server)) {
      this.options.log.warn('server_limit_unusable', {server, detail});
    }
  }
}
