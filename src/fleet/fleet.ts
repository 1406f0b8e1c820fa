import {Catalog} from '../catalog/index.js';
import {Log} from '../log/index.js';
import {Random} from '../random/index.js';
import {OutlierDetector, ServerKnowledge} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {Demand, DemandMeter} from '../quota/index.js';
import {chooseCandidates} from './choose_candidates.js';
import {chooseHome} from './choose_home.js';
import {FleetServer, FleetState} from './fleet_server.js';
import {KnowledgeQuestion} from './knowledge_question.js';
import {HostLoad, PREFILL_TOKENS_PER_MS, sumPeerWork} from './peer_work.js';
import {FleetFlight, FlightEnd, TrackedServer} from './tracked_server.js';
import {PromptPart} from './part_memory.js';
import {PartNews, SentPart} from './part_news.js';
import {sumAhead} from './pending_prefill.js';

/** What the fleet works with. */
export interface FleetOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Data centre of this host: its servers are nearer. */
  readonly dataCentre: string;
  readonly random: Random;
  /** Returns what live peers have in flight at a server. */
  readonly listPeerLoads: (server: string) => readonly HostLoad[];
}

/** Milliseconds of detour to another data centre and back. */
const HOP_MS = 3;
/** Milliseconds an engine takes per token of one stream, when moderately full. */
const DECODE_MS = 5;
/** Milliseconds a plain service works on a request, until its own are seen. */
const PLAIN_WORK_MS = 80;
/** Share of a shared prompt that its home server is assumed to have cached. */
const HOME_CREDIT = 0.5;
/** Memory assumed of an engine whose service does not say, in tokens. */
const DEFAULT_CACHE_TOKENS = 500_000;
const MS_PER_SECOND = 1000;

/**
 * Time since a server's registration ended from which its end was to come, in
 * milliseconds: servers that leave serve on for seconds, one that crashed does not.
 */
const GONE_MS = 1000;

/** Time for which a draining server still accepts copied runs, in milliseconds. */
const COPIED_RUN_GRACE_MS = 500;

/** Rank that is behind every other: all that is pending counts. */
const LAST_RANK = Number.MAX_SAFE_INTEGER;

/** Flight at a server that is no longer known. */
const NO_FLIGHT: FleetFlight = {
  addFirstByte: () => undefined,
  addProgress: () => undefined,
  finish: () => undefined,
};

/** All backend servers that are registered, with what is known of each. */
export class Fleet {
  /** By the id of one start. */
  private readonly servers = new Map<string, TrackedServer>();
  /** Latest start of each server that is remembered, by name. */
  private readonly starts = new Map<string, FleetServer>();
  private readonly listeners: ((server: FleetServer) => void)[] = [];
  private readonly outliers: OutlierDetector;
  private readonly prefill: DemandMeter;
  private readonly partNews: PartNews;
  private catalog: Catalog | undefined;

  constructor(private readonly options: FleetOptions) {
    this.outliers = new OutlierDetector(options.clock);
    this.prefill = new DemandMeter(options.clock);
    this.partNews = new PartNews(options.clock);
  }

  /** Has a function called for each server whose state changes. */
  addListener(listener: (server: FleetServer) => void): void {
    this.listeners.push(listener);
  }

  /** Takes over the services of a catalog. */
  setCatalog(catalog: Catalog): void {
    this.catalog = catalog;
  }

  /**
   * Takes in a registration. That of a later start ends the one before; that of
   * an earlier start, heard late, changes nothing.
   */
  set(server: FleetServer, source: string): void {
    const latest = this.starts.get(server.name);
    if (latest !== undefined && latest.startedMs > server.startedMs) {
      this.noteEarlierStart(latest, server, source);
      return;
    }
    this.starts.set(server.name, server);
    if (latest !== undefined && latest.id !== server.id) {
      this.update({...latest, state: FleetState.ENDED}, source);
    }
    this.update(server, source);
  }

  /** Takes in that the registration under a name has ended. */
  remove(name: string, source: string): void {
    const latest = this.starts.get(name);
    if (latest !== undefined) {
      this.update({...latest, state: FleetState.GONE}, source);
    }
    this.trim();
  }

  private update(server: FleetServer, source: string): void {
    const known = this.servers.get(server.id);
    if (known !== undefined) {
      const {server: before} = known;
      known.setServer(server);
      this.noteState(before, server, source);
      return;
    }
    const engine = this.catalog?.services.get(server.service)?.engine;
    const capacity = engine?.cacheTokens ?? DEFAULT_CACHE_TOKENS;
    this.servers.set(
      server.id,
      new TrackedServer(server, capacity, this.options.clock),
    );
    this.noteState(undefined, server, source);
  }

  /** Returns a server. */
  get(id: string): FleetServer | undefined {
    return this.servers.get(id)?.server;
  }

  /**
   * Tells whether a server has said that it leaves, or has long been gone from the
   * register: its end was to come, whatever ran there.
   */
  isLeaving(id: string): boolean {
    const tracked = this.servers.get(id);
    switch (tracked?.server.state) {
      case FleetState.DRAINING:
        return true;
      case FleetState.GONE:
        return tracked.getStateAgeMs() > GONE_MS;
      default:
        return false;
    }
  }

  /** Tells whether a server is registered and not draining. */
  isReady(id: string): boolean {
    return this.servers.get(id)?.server.state === FleetState.READY;
  }

  /**
   * Tells whether a server accepts a run whose memory was copied to it. No other
   * server can resume the run, so one that began draining only recently qualifies too.
   */
  acceptsCopiedRun(id: string): boolean {
    const tracked = this.servers.get(id);
    if (tracked?.server.state === FleetState.DRAINING) {
      return tracked.getStateAgeMs() < COPIED_RUN_GRACE_MS;
    }
    return this.isReady(id);
  }

  /** Tells whether any server is known. */
  isKnown(): boolean {
    return this.servers.size > 0;
  }

  /** Returns every server that is remembered, with its state. */
  listStates(): {readonly id: string; readonly state: FleetState}[] {
    return [...this.servers.values()].map(({server}) => ({
      id: server.id,
      state: server.state,
    }));
  }

  /** Returns the servers of a service that are registered, draining or not. */
  listServers(service: string): FleetServer[] {
    const found: FleetServer[] = [];
    for (const {server} of this.servers.values()) {
      if (server.service === service && isRegistered(server)) {
        found.push(server);
      }
    }
    return found;
  }

  /** Tells whether a function picks any of a service's servers that take work. */
  hasReady(service: string, picks: (server: FleetServer) => boolean): boolean {
    for (const {server} of this.servers.values()) {
      const isReady =
        server.service === service && server.state === FleetState.READY;
      if (isReady && picks(server)) {
        return true;
      }
    }
    return false;
  }

  /** Counts the servers of a service that take work, by version. */
  countReady(service: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const {server} of this.listReady(service)) {
      const version = server.version ?? '';
      counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    return counts;
  }

  /** Returns the work of this host at each server, to tell peers. */
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

  /** Returns the prompt tokens per second this host has each service compute. */
  listPrefill(): Demand[] {
    return this.prefill.list();
  }

  /** Returns the shared parts of prompts that were just sent, to tell peers. */
  listSentParts(): SentPart[] {
    return this.partNews.list();
  }

  /** Takes in which parts of prompts a peer has sent to which servers. */
  addPeerParts(sent: readonly SentPart[]): void {
    for (const {server, part} of sent) {
      this.servers.get(server)?.memory.add([part]);
    }
  }

  /**
   * Tells what is known of a service's servers that take new work; of many
   * servers, of some that suit the request.
   * @param service - The service.
   * @param question - The request.
   */
  listKnowledge(
    service: string,
    question: KnowledgeQuestion,
  ): ServerKnowledge[] {
    const {parts, urgency = LAST_RANK} = question;
    const ready = this.listAllowed(service, question);
    const shared = parts.slice(0, -1);
    const home = chooseHome(shared, ready);
    const candidates = chooseCandidates(ready, {
      excluded: question.excluded ?? new Set(),
      home,
      countCached: ({memory}) => memory.countCachedTokens(parts),
      random: this.options.random,
    });
    const isEngine = this.catalog?.services.get(service)?.engine !== undefined;
    const known: ServerKnowledge[] = [];
    for (const tracked of candidates) {
      const {server} = tracked;
      const peers = sumPeerWork(this.options.listPeerLoads(server.id), urgency);
      const cached = tracked.memory.countCachedTokens(parts);
      const credit = server.id === home ? countTokens(shared) * HOME_CREDIT : 0;
      known.push({
        server: server.id,
        dataCentre: server.dataCentre,
        load: {
          running: tracked.inFlight + peers.running,
          waiting: 0,
          capacity: server.slots,
          prefillRate: PREFILL_TOKENS_PER_MS * MS_PER_SECOND,
          decodeMs: isEngine ? DECODE_MS : PLAIN_WORK_MS,
          models: [],
        },
        sentSinceReport: 0,
        inFlight: tracked.inFlight,
        cachedTokens: Math.max(cached, credit),
        pendingPrefillTokens:
          sumAhead(tracked.prefill.list(), urgency) + peers.ahead,
        excessMs: tracked.getExcessMs(),
        hopMs: server.dataCentre === this.options.dataCentre ? 0 : HOP_MS,
        ejected: this.outliers.isEjected(server.id) || tracked.isSilent(),
      });
    }
    return known;
  }

  /**
   * Notes that a request is sent to a server.
   * @param id - The server.
   * @param parts - Parts of the prompt.
   * @param predictedMs - Predicted time to the first byte of the answer.
   * @param urgency - Rank of the request at its server.
   */
  startFlight(
    id: string,
    parts: readonly PromptPart[],
    predictedMs: number,
    urgency = 0,
  ): FleetFlight {
    const tracked = this.servers.get(id);
    if (tracked === undefined) {
      return NO_FLIGHT;
    }
    const tokens = tracked.countUncached(parts);
    this.prefill.add(tracked.server.service, tokens);
    this.partNews.add(id, parts);
    return tracked.startFlight(parts, predictedMs, urgency, end =>
      this.noteEnd(id, end),
    );
  }

  private noteEnd(id: string, end: FlightEnd): void {
    if (end === FlightEnd.NEUTRAL) {
      return;
    }
    if (end === FlightEnd.SUCCEEDED) {
      this.outliers.addSuccess(id);
      return;
    }
    if (this.outliers.addFailure(id, end === FlightEnd.SILENT)) {
      this.options.log.warn('server_ejected', {server: id, after: end});
    }
  }

  private listAllowed(
    service: string,
    {allows}: KnowledgeQuestion,
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

  private noteState(
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
   * An entry that does not say which start it is, where others did, is another
   * writer's: it names no server to use.
   */
  private noteEarlierStart(
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
      this.remove(server.name, source);
    }
  }

  private trim(): void {
    for (const [id, tracked] of this.servers) {
      const {server} = tracked;
      if (!isRegistered(server) && tracked.isForgotten()) {
        this.servers.delete(id);
        if (this.starts.get(server.name)?.id === id) {
          this.starts.delete(server.name);
        }
      }
    }
  }
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
