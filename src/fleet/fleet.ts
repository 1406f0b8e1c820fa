import {Catalog} from '../catalog/index.js';
import {Log} from '../log/index.js';
import {
  createServerKey,
  ModelSums,
  RequestFeatures,
  RequestKind,
  ServerModels,
} from '../server_model/index.js';
import {Random} from '../random/index.js';
import {
  LearnedTimes,
  OutlierDetector,
  ServerKnowledge,
} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {Demand, DemandMeter} from '../quota/index.js';
import {chooseCandidates} from './choose_candidates.js';
import {choosePreferredServer} from './choose_preferred_server.js';
import {ConnectionCost} from './connection_cost.js';
import {FleetServer, FleetState} from './fleet_server.js';
import {KnowledgeQuery} from './knowledge_query.js';
import {LeavingServers} from './leaving_servers.js';
import {HostLoad, PREFILL_TOKENS_PER_MS, sumPeerWork} from './peer_work.js';
import {
  LearnedRequest,
  TrackedRequest,
  RequestOutcome,
  TrackedServer,
} from './tracked_server.js';
import {PromptPart} from './part_cache.js';
import {PartUpdates, SentPart} from './part_updates.js';
import {sumAhead} from './pending_prefill.js';

/** Dependencies of the fleet. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Data centre of this host, whose servers are closest in the network. */
  readonly dataCentre: string;
  readonly random: Random;
  /** Returns the work that live peers have in flight at a server. */
  readonly listPeerLoads: (server: string) => readonly HostLoad[];
  /** Estimates the time to open a connection; if absent, it counts as none. */
  readonly connectionCost?: ConnectionCost;
  /** Learned times of the servers; if absent, constants are used. */
  readonly models?: ServerModels;
}

/** Additional round-trip time to a server in another data centre. */
const CROSS_DATA_CENTRE_ROUND_TRIP_MS = 3;
/** Time an engine takes per generated token of one stream under moderate load. */
const DECODE_MS = 5;
/**
 * Assumed processing time of a request at a plain service. Longer times
 * count as excess delay.
 */
const PLAIN_REQUEST_MS = 80;
/**
 * Fraction of the tokens in a prompt's shared parts (all parts but the last)
 * that the preferred server of the prompt is assumed to have cached.
 */
const PREFERRED_SERVER_CACHED_SHARE = 0.5;
/** Cache size assumed for an engine if the catalog does not specify it. */
const DEFAULT_CACHE_TOKENS = 500_000;
const MS_PER_SECOND = 1000;
/** Decayed count of recent answers from which their lateness is reported to peers. */
const MIN_REPORTED_COUNT = 0.2;

/**
 * Time after the end of its registration from which a server counts as leaving.
 * A server that leaves on purpose keeps serving for seconds after its
 * registration has ended; a crashed one does not. After this time, the two are
 * not told apart: a crashed server counts as leaving, too.
 */
const UNREGISTERED_LEAVING_MS = 1000;

/**
 * Time for which a draining server still accepts runs whose KV cache was copied
 * to it.
 */
const COPIED_RUN_GRACE_MS = 500;

/** Rank that is less urgent than every other: all pending work is ahead of it. */
const LEAST_URGENT_RANK = Number.MAX_SAFE_INTEGER;

/** In-flight request at a server that is no longer known. */
const UNTRACKED_REQUEST: TrackedRequest = {
  addFirstByte: () => undefined,
  addProgress: () => undefined,
  setSilent: () => undefined,
  markProbe: () => undefined,
  finish: () => undefined,
};

/** The registered backend servers, with what is known about each. */
export class Fleet {
  /** Servers that have stated in an answer that they leave. */
  readonly leaving: LeavingServers;
  /** Servers by the id of their incarnation. */
  private readonly servers = new Map<string, TrackedServer>();
  /** Latest known incarnation of each server, by name. */
  private readonly latestIncarnations = new Map<string, FleetServer>();
  private readonly listeners: ((server: FleetServer) => void)[] = [];
  private readonly outliers: OutlierDetector;
  /** Measures the uncached prompt tokens per second that are sent, by service. */
  private readonly prefillRates: DemandMeter;
  private readonly partUpdates: PartUpdates;
  private catalog: Catalog | undefined;

  constructor(private readonly options: FleetOptions) {
    this.outliers = new OutlierDetector(options.clock);
    this.prefillRates = new DemandMeter(options.clock);
    this.partUpdates = new PartUpdates(options.clock);
    this.leaving = new LeavingServers({
      clock: options.clock,
      log: options.log,
      isKnownServer: server => this.servers.has(server),
    });
    this.leaving.addListener((id, source) => this.handleLeaving(id, source));
  }

  /** Adds a function that is called for each server whose state changes. */
  addListener(listener: (server: FleetServer) => void): void {
    this.listeners.push(listener);
  }

  /** Sets the catalog with the services of the servers. */
  setCatalog(catalog: Catalog): void {
    this.catalog = catalog;
  }

  /**
   * Adds or updates a registration. Incarnations are ordered by start time; one
   * with another id and the same start time counts as later. A registration of a
   * later incarnation marks the one before as terminated. A delayed registration
   * of an earlier incarnation is logged and otherwise ignored, except that one
   * without a start time (0) marks the server as unregistered.
   * @param server - The server as it registered itself.
   * @param source - Where the registration was read, for the log.
   */
  register(server: FleetServer, source: string): void {
    const latest = this.latestIncarnations.get(server.name);
    if (latest !== undefined && latest.startedMs > server.startedMs) {
      this.handleOutdatedIncarnation(latest, server, source);
      return;
    }
    this.latestIncarnations.set(server.name, server);
    if (latest !== undefined && latest.id !== server.id) {
      this.update({...latest, state: FleetState.TERMINATED}, source);
    }
    this.update(server, source);
  }

  /**
   * Marks the latest incarnation of a server as unregistered. Also drops the
   * expired incarnations of all servers.
   */
  unregister(name: string, source: string): void {
    const latest = this.latestIncarnations.get(name);
    if (latest !== undefined) {
      this.update({...latest, state: FleetState.UNREGISTERED}, source);
    }
    this.removeExpired();
  }

  /** Updates the state of a server that has become known to leave. */
  private handleLeaving(id: string, source: string): void {
    const server = this.get(id);
    if (server !== undefined) {
      this.update(server, source);
    }
  }

  private update(registered: FleetServer, source: string): void {
    const server = this.applyLeaving(registered);
    const known = this.servers.get(server.id);
    if (known !== undefined) {
      const {server: before} = known;
      known.setServer(server);
      this.publishStateChange(before, server, source);
      return;
    }
    const engine = this.catalog?.services.get(server.service)?.engine;
    const capacity = engine?.cacheTokens ?? DEFAULT_CACHE_TOKENS;
    this.servers.set(
      server.id,
      new TrackedServer(server, capacity, this.options.clock),
    );
    this.publishStateChange(undefined, server, source);
  }

  /** Returns a server that is registered as ready, but known to leave, as draining. */
  private applyLeaving(server: FleetServer): FleetServer {
    const isOutdated =
      server.state === FleetState.READY && this.leaving.has(server.id);
    return isOutdated ? {...server, state: FleetState.DRAINING} : server;
  }

  /** Returns an incarnation of a server by its id; `undefined` if not known. */
  get(id: string): FleetServer | undefined {
    return this.servers.get(id)?.server;
  }

  /**
   * Returns whether a server has stated that it leaves, or has been
   * unregistered for longer than `UNREGISTERED_LEAVING_MS`. Its termination was
   * then to be expected, whatever requests ran there.
   */
  isLeaving(id: string): boolean {
    if (this.leaving.has(id)) {
      return true;
    }
    const tracked = this.servers.get(id);
    switch (tracked?.server.state) {
      case FleetState.DRAINING:
        return true;
      case FleetState.UNREGISTERED:
        return tracked.getStateAgeMs() > UNREGISTERED_LEAVING_MS;
      default:
        return false;
    }
  }

  /** Returns whether a server is registered and not draining. */
  isReady(id: string): boolean {
    return this.servers.get(id)?.server.state === FleetState.READY;
  }

  /** Returns whether a server is likely to respond, as far as this host can tell. */
  isResponsive(id: string): boolean {
    return (
      !this.outliers.isEjected(id) &&
      this.servers.get(id)?.isResponsive() === true
    );
  }

  /**
   * Returns whether a server accepts a run whose KV cache was copied to it. No
   * other server can resume the run, so a server that started draining less than
   * `COPIED_RUN_GRACE_MS` ago qualifies, too.
   */
  acceptsCopiedRun(id: string): boolean {
    const tracked = this.servers.get(id);
    if (tracked?.server.state === FleetState.DRAINING) {
      return tracked.getUnavailableMs() < COPIED_RUN_GRACE_MS;
    }
    return this.isReady(id);
  }

  /** Returns whether any server is known. */
  hasServers(): boolean {
    return this.servers.size > 0;
  }

  /** Returns the known incarnations of all servers, with their states. */
  listStates(): {readonly id: string; readonly state: FleetState}[] {
    return [...this.servers.values()].map(({server}) => ({
      id: server.id,
      state: server.state,
    }));
  }

  /** Returns the registered servers of a service, including draining ones. */
  listServers(service: string): FleetServer[] {
    const found: FleetServer[] = [];
    for (const {server} of this.servers.values()) {
      if (server.service === service && isRegistered(server)) {
        found.push(server);
      }
    }
    return found;
  }

  /**
   * Returns whether a service has a server that takes new work and that a
   * function allows.
   */
  hasReady(service: string, allows: (server: FleetServer) => boolean): boolean {
    for (const {server} of this.servers.values()) {
      const isReady =
        server.service === service && server.state === FleetState.READY;
      if (isReady && allows(server)) {
        return true;
      }
    }
    return false;
  }

  /** Counts the servers of a service that take new work, by version. */
  countReady(service: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {server} of this.listReady(service)) {
      const version = server.version ?? '';
      counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    return counts;
  }

  /** Returns the number of this host's requests in flight at a server. */
  countInFlight(id: string): number {
    return this.servers.get(id)?.inFlight ?? 0;
  }

  /** Returns the number of this host's requests in flight at all servers. */
  countAllInFlight(): number {
    let count = 0;
    for (const {inFlight} of this.servers.values()) {
      count += inFlight;
    }
    return count;
  }

  /** Returns the work of this host at each server, as reported to peers. */
  listOwnLoads(): HostLoad[] {
    const loads: HostLoad[] = [];
    for (const [server, tracked] of this.servers) {
      const {inFlight: running, prefill} = tracked;
      if (running > 0) {
        loads.push({server, running, prefill: prefill.list(), ageMs: 0});
      }
    }
    return loads;
  }

  /**
   * Returns the sums of this host's observations of servers, as reported to peers;
   * `undefined` if none are learned from.
   */
  listModelSums(): ModelSums | undefined {
    const models = this.getModels();
    if (models === undefined) {
      return undefined;
    }
    const late = new Map<string, readonly number[]>();
    for (const [server, tracked] of this.servers) {
      const {count, shares} = tracked.getLateness();
      if (count >= MIN_REPORTED_COUNT) {
        late.set(createServerKey(server), [count, shares]);
      }
    }
    return {...models.listSums(), late};
  }

  /**
   * Returns the rate, in tokens per second, at which this host sends each service
   * prompt tokens that are not assumed to be cached. Unlike the pending prefill of
   * a server, it includes tokens that are already computed.
   */
  listPrefillRates(): Demand[] {
    return this.prefillRates.list();
  }

  /**
   * Returns the shared prompt parts that were sent recently, as reported to
   * peers.
   */
  listSentParts(): SentPart[] {
    return this.partUpdates.list();
  }

  /** Adds the prompt parts that a peer has sent to servers. */
  addPeerParts(sent: readonly SentPart[]): void {
    for (const {server, part} of sent) {
      this.servers.get(server)?.cachedParts.add([part]);
    }
  }

  /**
   * Returns what is known about the servers of a service that take new work. Of
   * many servers, only some candidates for the request are returned.
   * @param service - The service.
   * @param query - The request. Without an `urgency` (0 is the most urgent), all
   *   pending prefill counts as ahead of it.
   */
  listKnowledge(service: string, query: KnowledgeQuery): ServerKnowledge[] {
    const {parts, urgency = LEAST_URGENT_RANK} = query;
    const ready = this.listAllowed(service, query);
    const shared = parts.slice(0, -1);
    const preferredServer = choosePreferredServer(shared, ready);
    const connected = this.options.connectionCost?.listConnected(
      ready.map(({server}) => server.id),
    );
    const candidates = chooseCandidates(ready, {
      excluded: query.excluded ?? new Set(),
      preferredServer,
      countCached: ({cachedParts}) => cachedParts.countCachedTokens(parts),
      connected,
      random: this.options.random,
    });
    const isEngine = this.catalog?.services.get(service)?.engine !== undefined;
    const models = this.getModels();
    const kind = query.kind && {
      ...query.kind,
      hasPrefill: isEngine && query.kind.hasPrefill,
    };
    const prefillRate =
      models?.getPrefillRate(service) ?? PREFILL_TOKENS_PER_MS * MS_PER_SECOND;
    const knowledge: ServerKnowledge[] = [];
    for (const tracked of candidates) {
      const {server} = tracked;
      const peers = sumPeerWork(
        this.options.listPeerLoads(server.id),
        urgency,
        prefillRate / MS_PER_SECOND,
      );
      const running = tracked.inFlight + peers.running;
      const learned =
        models && kind && getLearnedTimes(models, tracked, running, kind);
      const cached = tracked.cachedParts.countCachedTokens(parts);
      const assumedCached =
        server.id === preferredServer
          ? countTokens(shared) * PREFERRED_SERVER_CACHED_SHARE
          : 0;
      knowledge.push({
        server: server.id,
        dataCentre: server.dataCentre,
        load: {
          // All known requests in flight, including those that wait for a slot.
          running,
          waiting: 0,
          capacity: server.slots,
          prefillRate,
          // At a plain service, whose requests count as one token each, this is the
          // time of a whole request.
          decodeMs: isEngine
            ? DECODE_MS
            : (learned?.fixedMs ?? PLAIN_REQUEST_MS),
          // Not used in the choice of a server.
          models: [],
        },
        // Requests of this host are already counted in `running`.
        sentSinceReport: 0,
        inFlight: tracked.inFlight,
        cachedTokens: Math.max(cached, assumedCached),
        pendingPrefillTokens:
          sumAhead(tracked.prefill.list(), urgency) + peers.prefillAhead,
        excessMs: tracked.getExcessMs(),
        learned,
        hopMs:
          server.dataCentre === this.options.dataCentre
            ? 0
            : CROSS_DATA_CENTRE_ROUND_TRIP_MS,
        connectMs:
          connected?.has(server.id) === false
            ? this.options.connectionCost?.getConnectMs()
            : 0,
        ejected: this.outliers.isEjected(server.id) || tracked.isStalled(),
      });
    }
    return knowledge;
  }

  /** Returns the models of the servers; `undefined` if constants are used. */
  private getModels(): ServerModels | undefined {
    const {models} = this.options;
    return models?.isEnabled() === true ? models : undefined;
  }

  /**
   * Records that a request is sent to a server.
   * @param id - The server.
   * @param parts - Parts of the prompt.
   * @param predictedMs - Predicted time to the first byte of the answer.
   * @param urgency - Rank of the request at its server; 0, the default, is the
   *   most urgent.
   * @param features - The request as known at the prediction, if its time is learned.
   */
  trackRequest(
    id: string,
    parts: readonly PromptPart[],
    predictedMs: number,
    urgency = 0,
    features?: RequestFeatures,
  ): TrackedRequest {
    const tracked = this.servers.get(id);
    if (tracked === undefined) {
      return UNTRACKED_REQUEST;
    }
    const tokens = tracked.countUncached(parts);
    this.prefillRates.add(tracked.server.service, tokens);
    this.partUpdates.add(id, parts);
    return tracked.trackRequest(
      parts,
      predictedMs,
      urgency,
      outcome => this.recordOutcome(id, outcome),
      this.createLearnedRequest(tracked.server, predictedMs, features),
    );
  }

  private createLearnedRequest(
    {id, service}: FleetServer,
    predictedMs: number,
    features: RequestFeatures | undefined,
  ): LearnedRequest | undefined {
    const models = features && this.getModels();
    if (models === undefined || features === undefined) {
      return undefined;
    }
    return {
      features,
      onFirstByte: tookMs =>
        models.observe(service, id, features, predictedMs, tookMs),
    };
  }

  private recordOutcome(id: string, outcome: RequestOutcome): void {
    if (outcome === RequestOutcome.NEUTRAL) {
      return;
    }
    if (outcome === RequestOutcome.SUCCEEDED) {
      this.outliers.addSuccess(id);
      return;
    }
    if (this.outliers.addFailure(id, outcome === RequestOutcome.UNRESPONSIVE)) {
      this.options.log.warn('server_ejected', {server: id, after: outcome});
    }
  }

  /**
   * Discards the failures of a service's servers, and ends their ejections, after it
   * turned out that this host had lost its connections to all of them.
   */
  forgetFailures(service: string): void {
    for (const [id, {server}] of this.servers) {
      if (server.service === service) {
        this.outliers.forget(id);
      }
    }
  }

  private listAllowed(
    service: string,
    {allows}: KnowledgeQuery,
  ): TrackedServer[] {
    const ready = this.listReady(service);
    return allows === undefined
      ? ready
      : ready.filter(({server}) => allows(server));
  }

  private listReady(service: string): TrackedServer[] {
    const ready: TrackedServer[] = [];
    for (const tracked of this.servers.values()) {
      const {server} = tracked;
      if (server.service === service && server.state === FleetState.READY) {
        ready.push(tracked);
      }
    }
    return ready;
  }

  private publishStateChange(
    before: FleetServer | undefined,
    after: FleetServer,
    source: string,
  ): void {
    if (before?.state === after.state) {
      return;
    }
    this.options.log.info('server_state', {
      server: after.id,
      service: after.service,
      data_centre: after.dataCentre,
      state: after.state,
      before: before?.state,
      leaves_ms: after.leavesMs,
      reclaimable: after.reclaimable,
      source,
    });
    for (const listener of this.listeners) {
      listener(after);
    }
  }

  /**
   * Logs a registration of an earlier incarnation. One without a start time,
   * after one with a start time, was not written by the server itself and
   * describes no usable server. The server is therefore marked as unregistered,
   * so that it gets no new work.
   */
  private handleOutdatedIncarnation(
    latest: FleetServer,
    server: FleetServer,
    source: string,
  ): void {
    const {log} = this.options;
    log.warn('server_start_outdated', {
      server: latest.id,
      started_ms: server.startedMs,
      source,
    });
    if (server.startedMs === 0) {
      this.unregister(server.name, source);
    }
  }

  /** Drops incarnations that are no longer registered and have expired. */
  private removeExpired(): void {
    for (const [id, tracked] of this.servers) {
      const {server} = tracked;
      if (!isRegistered(server) && tracked.isExpired()) {
        this.servers.delete(id);
        if (this.latestIncarnations.get(server.name)?.id === id) {
          this.latestIncarnations.delete(server.name);
        }
      }
    }
  }
}

/**
 * Returns the learned times of a server.
 * @param running - Requests at the server, of all hosts.
 */
function getLearnedTimes(
  models: ServerModels,
  tracked: TrackedServer,
  running: number,
  kind: RequestKind,
): LearnedTimes {
  const {id, service, slots} = tracked.server;
  const times = models.getTimes({
    service,
    server: id,
    kind,
    occupancy: running / Math.max(1, slots),
    ownLateness: tracked.getLateness(),
  });
  return {kind, ...times};
}

function isRegistered({state}: FleetServer): boolean {
  return state === FleetState.READY || state === FleetState.DRAINING;
}

function countTokens(parts: readonly PromptPart[]): number {
  let sum = 0;
  for (const part of parts) {
    sum += part.tokens;
  }
  return sum;
}
