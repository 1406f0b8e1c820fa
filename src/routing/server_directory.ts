import {LoadReport, ModelEngine, PlainService} from '../backend/index.js';
import {Server, ServerKind} from '../configuration/index.js';
import {Clock} from '../time/index.js';
import {OutlierDetector} from './outlier_detector.js';
import {PrefixIndex} from './prefix_index.js';
import {ServerKnowledge} from './server_knowledge.js';

/** Creates the client of a server. */
export interface ServerClients {
  readonly createEngine: (server: Server) => ModelEngine;
  readonly createService: (server: Server) => PlainService;
}

/** An in-flight request at a server. Only the first call of `finish` counts. */
export interface InFlightRequest {
  /**
   * Records the time to the first token and its prediction, in milliseconds.
   */
  addFirstToken(tookMs: number, predictedMs: number): void;
  /** Ends the request and counts its success or failure. */
  finish(succeeded: boolean): void;
}

/** A server with what is known about it. */
interface TrackedServer {
  server: Server;
  readonly engine?: ModelEngine;
  readonly service?: PlainService;
  readonly prefixes: PrefixIndex;
  load?: LoadReport;
  /** When the load report was made, in monotonic milliseconds. */
  loadMadeMs: number;
  /**
   * Times at which this host sent the requests since the load report, in
   * monotonic milliseconds; newest last.
   */
  sentMs: number[];
  inFlight: number;
  pendingPrefillTokens: number;
  excessMs: number;
}

/** Maximum age of a load report that is used. */
const LOAD_MAX_AGE_MS = 10_000;
/** Weight of the newest sample in the smoothed excess delay. */
const EXCESS_WEIGHT = 0.3;
/**
 * Cost of a server in another data centre: the network hop, and older load
 * reports.
 */
const CROSS_DATA_CENTRE_COST_MS = 25;
/**
 * Maximum number of send times kept per server: more than its reports can lag
 * behind.
 */
const MAX_SENT_TIMES = 512;

/** All backend servers of the configuration, with what is known about each. */
export class ServerDirectory {
  private readonly tracked = new Map<string, TrackedServer>();
  private readonly outliers: OutlierDetector;

  /**
   * @param clients - Creates the clients of servers.
   * @param clock - Clock for the age of load reports and the send times of
   *   requests.
   * @param dataCentre - Data centre of this host.
   * @param countHosts - Returns how many hosts send to the servers. The others
   *   are assumed to send as much as this one until their load is reported.
   */
  constructor(
    private readonly clients: ServerClients,
    private readonly clock: Clock,
    private readonly dataCentre: string,
    private readonly countHosts: () => number,
  ) {
    this.outliers = new OutlierDetector(clock);
  }

  /**
   * Replaces the servers by those of a new configuration revision. A server
   * whose address is unchanged keeps its state.
   */
  setServers(servers: Iterable<Server>): void {
    const wanted = new Set<string>();
    for (const server of servers) {
      wanted.add(server.name);
      const known = this.tracked.get(server.name);
      if (known?.server.address === server.address) {
        known.server = server;
        continue;
      }
      this.tracked.set(server.name, this.createTrackedServer(server));
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

  /**
   * Returns the configuration record of a server; `undefined` if it was
   * removed.
   */
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

  /**
   * Returns the last load report of a server and its age, unless it is too old.
   */
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

  /** Returns whether the last load report of a server was made after a time. */
  hasReportedSince(name: string, monotonicMs: number): boolean {
    const tracked = this.tracked.get(name);
    return tracked?.load !== undefined && tracked.loadMadeMs > monotonicMs;
  }

  /** Returns the prefixes that a server is assumed to have cached. */
  getPrefixes(name: string): PrefixIndex | undefined {
    return this.tracked.get(name)?.prefixes;
  }

  /** Counts the in-flight requests of this host at a server. */
  countInFlight(name: string): number {
    return this.tracked.get(name)?.inFlight ?? 0;
  }

  /** Returns whether a server is ejected after failures. */
  isEjected(name: string): boolean {
    return this.outliers.isEjected(name);
  }

  /**
   * Stores a load report, unless a newer one of the server is known.
   * @param name - Server that the report describes.
   * @param load - The report.
   * @param ageMs - Time since the report was made, in milliseconds.
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
      // A server with free capacity has no reason for excess delay: let the old
      // value decay.
      tracked.excessMs *= 1 - EXCESS_WEIGHT;
    }
  }

  /**
   * Returns what is known about servers, for a choice among them.
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
      const recent = this.getLoad(name);
      known.push({
        server: name,
        dataCentre: tracked.server.dataCentre,
        ...(recent === undefined ? {} : {load: recent.load}),
        sentSinceReport: tracked.sentMs.length * hosts,
        inFlight: tracked.inFlight,
        cachedTokens: tracked.prefixes.countCachedTokens(blocks),
        pendingPrefillTokens: tracked.pendingPrefillTokens * hosts,
        excessMs: tracked.excessMs,
        hopMs:
          tracked.server.dataCentre === this.dataCentre
            ? 0
            : CROSS_DATA_CENTRE_COST_MS,
        ejected: this.isEjected(name),
      });
    }
    return known;
  }

  /**
   * Records that a request is sent to a server.
   * @param name - The server.
   * @param blocks - Prefix blocks of the prompt.
   * @param prefillTokens - Prompt tokens it has to compute before the first
   *   token.
   */
  trackRequest(
    name: string,
    blocks: readonly number[],
    prefillTokens: number,
  ): InFlightRequest {
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
    // The prediction includes the excess observed so far; a new sample must not
    // include it.
    const predictedExcessMs = tracked.excessMs;
    let pending = prefillTokens;
    let open = true;
    const endPrefill = () => {
      tracked.pendingPrefillTokens -= pending;
      pending = 0;
    };
    return {
      addFirstToken: (tookMs, predictedMs) => {
        endPrefill();
        const excessMs = Math.max(
          0,
          tookMs - (predictedMs - predictedExcessMs),
        );
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

  private createTrackedServer(server: Server): TrackedServer {
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
