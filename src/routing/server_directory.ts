import {LoadReport, ModelEngine, PlainService} from '../backend/index.js';
import {Server, ServerKind} from '../configuration/index.js';
import {Clock} from '../time/index.js';
import {OutlierDetector} from './outlier_detector.js';
import {PrefixIndex} from './prefix_index.js';
import {ServerKnowledge} from './server_knowledge.js';

/** Makes the client of a server. */
export interface ServerClients {
  readonly createEngine: (server: Server) => ModelEngine;
  readonly createService: (server: Server) => PlainService;
}

/** A request in flight, closed once by `finish`. */
export interface Flight {
  /** Tells that the first token came, after this many ms, predicted as that. */
  addFirstToken(tookMs: number, predictedMs: number): void;
  /** Ends the flight and counts its success or failure. */
  finish(succeeded: boolean): void;
}

/** A server with all that is known of it. */
interface TrackedServer {
  server: Server;
  readonly engine?: ModelEngine;
  readonly service?: PlainService;
  readonly prefixes: PrefixIndex;
  load?: LoadReport;
  /** When the report was made, monotonic ms. */
  loadMadeMs: number;
  /** Times at which this host sent requests, newest last. */
  sentMs: number[];
  inFlight: number;
  pendingPrefillTokens: number;
  excessMs: number;
}

/** A load report older than this is not used, in milliseconds. */
const LOAD_MAX_AGE_MS = 10_000;
/** Weight of the newest sample in the smoothed excess delay. */
const EXCESS_WEIGHT = 0.3;
/** Cost of a server in another data centre: the hop, and staler load. */
const HOP_MS = 25;
/** Send times kept per server; more than its reports can lag behind. */
const MAX_SENT_TIMES = 512;

/** All backend servers of the configuration, with what is known of each. */
export class ServerDirectory {
  private readonly tracked = new Map<string, TrackedServer>();
  private readonly outliers: OutlierDetector;

  /**
   * @param clients - Makes the clients of servers.
   * @param clock - Measures ages and flights.
   * @param dataCentre - Data centre of this host.
   * @param countHosts - Returns how many hosts send to the servers; the others
   *   are taken to send as much as this one until their load is reported.
   */
  constructor(
    private readonly clients: ServerClients,
    private readonly clock: Clock,
    private readonly dataCentre: string,
    private readonly countHosts: () => number,
  ) {
    this.outliers = new OutlierDetector(clock);
  }

  /** Takes over the servers of a new revision. */
  setServers(servers: Iterable<Server>): void {
    const wanted = new Set<string>();
    for (const server of servers) {
      wanted.add(server.name);
      const known = this.tracked.get(server.name);
      if (known?.server.address === server.address) {
        known.server = server;
        continue;
      }
      this.tracked.set(server.name, this.track(server));
    }
    for (const name of this.tracked.keys()) {
      if (!wanted.has(name)) {
        this.tracked.delete(name);
      }
    }
  }

  /** Returns all servers. */
  listServers(): readonly Server[] {
    return [...this.tracked.values()].map(tracked => tracked.server);
  }

  /** Returns how operators describe a server, if they still do. */
  getServer(name: string): Server | undefined {
    return this.tracked.get(name)?.server;
  }

  /** Returns the engine of a server. */
  getEngine(name: string): ModelEngine | undefined {
    return this.tracked.get(name)?.engine;
  }

  /** Returns the plain service of a server. */
  getService(name: string): PlainService | undefined {
    return this.tracked.get(name)?.service;
  }

  /** Returns the last load of a server and its age in milliseconds. */
  getLoad(
    name: string,
  ): {readonly load: LoadReport; readonly ageMs: number} | undefined {
    const tracked = this.tracked.get(name);
    if (tracked?.load === undefined) {
      return undefined;
    }
    const ageMs = this.clock.monotonicMs() - tracked.loadMadeMs;
    return ageMs > LOAD_MAX_AGE_MS ? undefined : {load: tracked.load, ageMs};
  }

  /** Returns the prefixes a server is believed to have cached. */
  getPrefixes(name: string): PrefixIndex | undefined {
    return this.tracked.get(name)?.prefixes;
  }

  /** Returns the requests of this host in flight at a server. */
  countInFlight(name: string): number {
    return this.tracked.get(name)?.inFlight ?? 0;
  }

  /** Tells whether a server is taken out for failing. */
  isEjected(name: string): boolean {
    return this.outliers.isEjected(name);
  }

  /**
   * Takes in a load report.
   * @param name - Server it is of.
   * @param load - The report.
   * @param ageMs - Time since it was made, in milliseconds.
   */
  addLoad(name: string, load: LoadReport, ageMs: number): void {
    const tracked = this.tracked.get(name);
    const madeMs = this.clock.monotonicMs() - ageMs;
    if (tracked === undefined || madeMs <= tracked.loadMadeMs) {
      return;
    }
    tracked.load = load;
    tracked.loadMadeMs = madeMs;
    tracked.sentMs = tracked.sentMs.filter(sentMs => sentMs > madeMs);
    if (load.waiting === 0 && load.running < load.capacity) {
      // A server that has room owes no excess: forget it.
      tracked.excessMs *= 1 - EXCESS_WEIGHT;
    }
  }

  /**
   * Tells what is known of servers, for a choice among them.
   * @param names - The candidates.
   * @param blocks - Prefix blocks of the prompt; empty for a service call.
   */
  listKnowledge(
    names: readonly string[],
    blocks: readonly number[],
  ): ServerKnowledge[] {
    const known: ServerKnowledge[] = [];
    const hosts = Math.max(1, this.countHosts());
    for (const name of names) {
      const tracked = this.tracked.get(name);
      if (tracked === undefined) {
        continue;
      }
      const heard = this.getLoad(name);
      known.push({
        server: name,
        dataCentre: tracked.server.dataCentre,
        ...(heard === undefined ? {} : {load: heard.load}),
        sentSinceReport: tracked.sentMs.length * hosts,
        inFlight: tracked.inFlight,
        cachedTokens: tracked.prefixes.countCachedTokens(blocks),
        pendingPrefillTokens: tracked.pendingPrefillTokens * hosts,
        excessMs: tracked.excessMs,
        hopMs: tracked.server.dataCentre === this.dataCentre ? 0 : HOP_MS,
        ejected: this.isEjected(name),
      });
    }
    return known;
  }

  /**
   * Notes that a request is sent to a server.
   * @param name - The server.
   * @param blocks - Prefix blocks of the prompt.
   * @param prefillTokens - Tokens it has to compute before the first answer.
   */
  startFlight(
    name: string,
    blocks: readonly number[],
    prefillTokens: number,
  ): Flight {
    const tracked = this.tracked.get(name);
    if (tracked === undefined) {
      return {addFirstToken: () => undefined, finish: () => undefined};
    }
    tracked.inFlight++;
    tracked.sentMs.push(this.clock.monotonicMs());
    if (tracked.sentMs.length > MAX_SENT_TIMES) {
      tracked.sentMs.shift();
    }
    tracked.pendingPrefillTokens += prefillTokens;
    tracked.prefixes.addPrompt(blocks);
    // The prediction counted the excess seen so far; a sample must not.
    const assumedMs = tracked.excessMs;
    let pending = prefillTokens;
    let open = true;
    const endPrefill = () => {
      tracked.pendingPrefillTokens -= pending;
      pending = 0;
    };
    return {
      addFirstToken: (tookMs, predictedMs) => {
        endPrefill();
        const excessMs = Math.max(0, tookMs - (predictedMs - assumedMs));
        tracked.excessMs += (excessMs - tracked.excessMs) * EXCESS_WEIGHT;
      },
      finish: succeeded => {
        if (!open) {
          return;
        }
        open = false;
        endPrefill();
        tracked.inFlight--;
        if (succeeded) {
          this.outliers.addSuccess(name);
        } else {
          this.outliers.addFailure(name);
        }
      },
    };
  }

  private track(server: Server): TrackedServer {
    const client =
      server.kind === ServerKind.ENGINE
        ? {engine: this.clients.createEngine(server)}
        : {service: this.clients.createService(server)};
    return {
      server,
      ...client,
      prefixes: new PrefixIndex(),
      loadMadeMs: Number.NEGATIVE_INFINITY,
      sentMs: [],
      inFlight: 0,
      pendingPrefillTokens: 0,
      excessMs: 0,
    };
  }
}
