import {Lateness} from './late_watch.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Clock} from '../time/index.js';
import {createServerKey} from './create_server_key.js';
import {DecayedTable} from './decayed_table.js';
import {
  CoefficientBounds,
  createLinearSums,
  fitLinear,
  SUM_COUNT,
} from './linear_fit.js';
import {
  ModelSum,
  ModelSums,
  NO_SUMS,
  SERVER_HALF_LIFE_MS,
  SERVICE_HALF_LIFE_MS,
} from './model_sums.js';
import {RequestFeatures, RequestKind, ServerTimes} from './server_times.js';

/** Dependencies of the models. */
export interface ServerModelsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly isEnabled: () => boolean;
  /** Returns the sums of the other hosts' observations, as of now. */
  readonly sumPeers: () => ModelSums;
}

/** A server in question, with the request. */
export interface TimesQuery {
  readonly service: string;
  readonly server: string;
  readonly kind: RequestKind;
  /** Requests at the server, as a share of its slots. */
  readonly occupancy: number;
  /** Lateness that this host observes. */
  readonly ownLateness: Lateness;
}

/** Model of a service, or of a route at one, by the name of each value. */
export type ServiceDescription = Readonly<Record<string, string | number>>;

/** The fitted values that are reused for a short time. */
interface Fits {
  readonly createdMs: number;
  readonly sums: ModelSums;
  readonly services: Map<string, readonly number[]>;
  /** Actual by expected time of all servers of a service together. */
  readonly meanRatios: Map<string, number>;
}

const TOKENS_PER_KTOKEN = 1000;
const MS_PER_SECOND = 1000;
/**
 * Priors and plausible ranges, in milliseconds: fixed time, per 1000 own tokens, per 1000
 * tokens ahead, and at full occupancy. The priors are the engines' rate that is assumed
 * without the model, 100 tokens per millisecond; they weigh as much as a few answers.
 */
const BOUNDS: readonly CoefficientBounds[] = [
  {prior: 0, weight: 0.5, min: 0, max: 5000},
  {prior: 10, weight: 20, min: 0.5, max: 500},
  {prior: 10, weight: 20, min: 0, max: 500},
  {prior: 0, weight: 1, min: 0, max: 1000},
];
/** Index of the coefficient of tokens ahead. */
const AHEAD = 2;
/**
 * Least time per token ahead, as a share of that per own token. The tokens ahead are known
 * only roughly, so that a fit underestimates their effect under a light load. Requests
 * would then be refused too late when the load rises.
 */
const MIN_AHEAD_SHARE = 0.5;
/** Time of a request at a plain service without answers, in milliseconds. */
const PRIOR_ROUTE_MS = 80;
/** Answers as which the prior of a route counts. */
const PRIOR_ROUTE_COUNT = 0.5;
/** Expected time for which a server counts as fast as its service, in milliseconds. */
const PRIOR_SERVER_MS = 300;
/** Answers in time that are assumed of a server in addition to the recent ones. */
const PRIOR_IN_TIME = 2;
const MIN_SPEED_RATIO = 0.2;
const MAX_SPEED_RATIO = 10;
/**
 * Limit of the deviation of one answer from the prediction, as a share of it: a single
 * slow period, or an answer after a pause of this host, is not typical of a server.
 */
const MAX_DEVIATION_SHARE = 0.5;
const MAX_DEVIATION_MS = 60;
/** Weight of answers from which the deviation is limited. */
const MIN_LEARNED_WEIGHT = 10;
/**
 * Time at which the weight of an answer in the fit is a quarter, in milliseconds. The
 * deviations of long answers are larger, so they weigh less.
 */
const WEIGHT_SCALE_MS = 200;
/** Time for which fitted values are reused, in milliseconds: a quarter of a heartbeat. */
const REFIT_MS = 100;
/** Minimum time between two log lines about the same service or server. */
const LOG_INTERVAL_MS = 10_000;
/** Late share from which a server is logged as slow, and below which as usual again. */
const SLOW_SHARE = 0.5;
const USUAL_SHARE = 0.2;
const MIN_COUNT = 0.1;
/**
 * Expected time of the answers of a server, decayed, from which the server is reported:
 * a quarter of an answer.
 */
const MIN_SERVER_MS = 30;
const MAX_SERVICES = 200;
const MAX_ROUTES = 64;
const MAX_SERVERS = 2000;
const ERROR = 'server_model_error';

/** Learns and predicts the times of servers; see docs/design/server-model.md. */
export class ServerModels {
  private readonly services: DecayedTable;
  private readonly routes: DecayedTable;
  private readonly servers: DecayedTable;
  /** Services of the known servers, by the key of the server. */
  private readonly serviceByKey = new Map<string, string>();
  /** Keys of the known servers, by id. */
  private readonly keys = new Map<string, string>();
  private readonly loggedMs = new Map<string, number>();
  private readonly slow = new Set<string>();
  private fits: Fits | undefined;

  constructor(private readonly options: ServerModelsOptions) {
    const {clock, metrics} = options;
    this.services = new DecayedTable(
      clock,
      SERVICE_HALF_LIFE_MS,
      MIN_COUNT,
      MAX_SERVICES,
    );
    this.routes = new DecayedTable(
      clock,
      SERVICE_HALF_LIFE_MS,
      MIN_COUNT,
      MAX_ROUTES,
    );
    this.servers = new DecayedTable(
      clock,
      SERVER_HALF_LIFE_MS,
      MIN_SERVER_MS,
      MAX_SERVERS,
    );
    metrics.addHistogram(
      ERROR,
      'Difference between the actual and the predicted time to the first byte',
    );
  }

  /** Returns whether predictions use the models. */
  isEnabled(): boolean {
    return this.options.isEnabled();
  }

  /** Returns the predicted times of a server. */
  getTimes(query: TimesQuery): ServerTimes {
    const {service, server, kind, occupancy, ownLateness} = query;
    const fits = this.getFits();
    const key = this.getKey(service, server);
    const ratio = this.getSpeedRatio(service, key, fits);
    if (!kind.hasPrefill) {
      const routeMs = this.getRouteMs(service, kind.route, fits);
      return {
        fixedMs: routeMs * ratio,
        ownTokenMs: 0,
        aheadTokenMs: 0,
        // One slow request occupies one slot; it does not delay the others.
        lateShare: 0,
        waitingMs: 0,
      };
    }
    const [fixed = 0, own = 0, ahead = 0, perOccupancy = 0] = this.getFit(
      service,
      fits,
    );
    const lateShare = getLateShare(key, ownLateness, fits.sums);
    this.logSlow(service, server, lateShare);
    return {
      fixedMs: (fixed + perOccupancy * occupancy) * ratio,
      ownTokenMs: (own * ratio) / TOKENS_PER_KTOKEN,
      aheadTokenMs: (ahead * ratio) / TOKENS_PER_KTOKEN,
      lateShare,
      waitingMs: ownLateness.waitingMs,
    };
  }

  /** Returns the prompt tokens per second that an engine of a service computes. */
  getPrefillRate(service: string): number {
    const [, own = 0] = this.getFit(service, this.getFits());
    return (TOKENS_PER_KTOKEN * MS_PER_SECOND) / own;
  }

  /**
   * Records the time to the first byte of an answer.
   * @param service - Service of the server.
   * @param server - The server.
   * @param features - The request as known when it was sent.
   * @param predictedMs - Predicted time, with the lateness observed then.
   * @param tookMs - Actual time.
   */
  observe(
    service: string,
    server: string,
    features: RequestFeatures,
    predictedMs: number,
    tookMs: number,
  ): void {
    const sign = tookMs > predictedMs ? 'late' : 'early';
    const errorMs = Math.abs(tookMs - predictedMs);
    this.options.metrics.record(ERROR, errorMs, {service, sign});
    const {kind, slotWaitMs, hopMs, expectedMs} = features;
    // The part of the time for the request itself, without the wait for a slot.
    const baseMs = Math.max(1, expectedMs - hopMs);
    const ownShare = Math.max(1, baseMs - slotWaitMs) / baseMs;
    const fits = this.getFits();
    const typicalMs = this.isLearned(service, kind, fits)
      ? limitDeviation(tookMs, expectedMs)
      : tookMs;
    const ownMs = Math.max(1, (typicalMs - hopMs) * ownShare);
    const key = this.getKey(service, server);
    const ratio = this.getSpeedRatio(service, key, fits);
    this.servers.add(key, [(baseMs * ownShare) / ratio, ownMs]);
    if (kind.hasPrefill) {
      const weight = 1 / (1 + expectedMs / WEIGHT_SCALE_MS) ** 2;
      this.services.add(
        service,
        createLinearSums(listFeatures(features), ownMs, weight),
      );
    } else {
      this.routes.add(createRouteKey(service, kind.route), [
        1,
        Math.log(ownMs),
      ]);
    }
    this.logModel(service, kind, fits);
  }

  /** Returns the sums of this host's observations, as reported to peers. */
  listSums(): ModelSums {
    return this.isEnabled()
      ? {
          services: this.services.list(),
          routes: this.routes.list(),
          servers: this.servers.list(),
          late: new Map(),
        }
      : NO_SUMS;
  }

  /** Describes the models of the services, for operators. */
  describe(): ServiceDescription[] {
    if (!this.isEnabled()) {
      return [];
    }
    const fits = this.getFits();
    const services = [...fits.sums.services].map(([service, [weight = 0]]) => {
      const [fixed = 0, own = 0, ahead = 0, occupancy = 0] = this.getFit(
        service,
        fits,
      );
      return {
        service,
        fixed_ms: fixed,
        own_ms_per_ktoken: own,
        ahead_ms_per_ktoken: ahead,
        full_ms: occupancy,
        weight,
      };
    });
    const routes = [...fits.sums.routes].map(
      ([route, [count = 0, logs = 0]]) => ({
        route,
        request_ms: getRouteMs(count, logs),
        weight: count,
      }),
    );
    return [...services, ...routes];
  }

  private getFits(): Fits {
    const nowMs = this.options.clock.monotonicMs();
    if (this.fits === undefined || nowMs - this.fits.createdMs >= REFIT_MS) {
      const sum = new ModelSum();
      sum.add(this.listSums(), 0);
      sum.add(this.options.sumPeers(), 0);
      this.fits = {
        createdMs: nowMs,
        sums: sum.get(),
        services: new Map(),
        meanRatios: new Map(),
      };
    }
    return this.fits;
  }

  private getFit(service: string, fits: Fits): readonly number[] {
    const known = fits.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const sums = fits.sums.services.get(service);
    const fit = fitService(sums ?? new Array<number>(SUM_COUNT).fill(0));
    fits.services.set(service, fit);
    return fit;
  }

  /** Returns the time of a request by route: the geometric mean, close to the median. */
  private getRouteMs(service: string, route: string, {sums}: Fits): number {
    const [count = 0, logs = 0] =
      sums.routes.get(createRouteKey(service, route)) ?? [];
    return getRouteMs(count, logs);
  }

  /**
   * Returns the time of a server relative to that of its service. It is divided by the
   * mean of the service: an error of the service's fit, which all its servers share, is
   * corrected by that fit alone.
   */
  private getSpeedRatio(service: string, key: string, fits: Fits): number {
    const [expected = 0, actual = 0] = fits.sums.servers.get(key) ?? [];
    const mean = this.getMeanRatio(service, fits);
    const ratio =
      (actual / mean + PRIOR_SERVER_MS) / (expected + PRIOR_SERVER_MS);
    return Math.min(MAX_SPEED_RATIO, Math.max(MIN_SPEED_RATIO, ratio));
  }

  private getMeanRatio(service: string, fits: Fits): number {
    const known = fits.meanRatios.get(service);
    if (known !== undefined) {
      return known;
    }
    let expectedSum = PRIOR_SERVER_MS;
    let actualSum = PRIOR_SERVER_MS;
    for (const [key, [expected = 0, actual = 0]] of fits.sums.servers) {
      if (this.serviceByKey.get(key) === service) {
        expectedSum += expected;
        actualSum += actual;
      }
    }
    const mean = actualSum / expectedSum;
    fits.meanRatios.set(service, mean);
    return mean;
  }

  private getKey(service: string, server: string): string {
    const known = this.keys.get(server);
    if (known !== undefined) {
      return known;
    }
    const key = createServerKey(server);
    if (this.keys.size >= MAX_SERVERS) {
      // Servers that are still in use are added again.
      this.keys.clear();
      this.serviceByKey.clear();
      this.slow.clear();
    }
    this.keys.set(server, key);
    this.serviceByKey.set(key, service);
    return key;
  }

  private logSlow(service: string, server: string, lateShare: number): void {
    const isSlow = this.slow.has(server);
    if (!isSlow && lateShare > SLOW_SHARE && this.isLogDue(server)) {
      this.slow.add(server);
      this.options.log.info('server_slow', {
        service,
        server,
        state: 'start',
        late_share: lateShare.toFixed(2),
      });
    } else if (isSlow && lateShare < USUAL_SHARE) {
      this.slow.delete(server);
      this.options.log.info('server_slow', {service, server, state: 'end'});
    }
  }

  /** Returns whether there were enough answers to tell an untypical one. */
  private isLearned(service: string, kind: RequestKind, {sums}: Fits): boolean {
    const values = kind.hasPrefill
      ? sums.services.get(service)
      : sums.routes.get(createRouteKey(service, kind.route));
    return (values?.[0] ?? 0) >= MIN_LEARNED_WEIGHT;
  }

  private logModel(service: string, kind: RequestKind, fits: Fits): void {
    const {route} = kind;
    const key = kind.hasPrefill ? service : createRouteKey(service, route);
    if (!this.isLogDue(key)) {
      return;
    }
    if (!kind.hasPrefill) {
      this.options.log.info('server_model', {
        service,
        route,
        request_ms: this.getRouteMs(service, route, fits).toFixed(1),
        answers: fits.sums.routes.get(key)?.[0]?.toFixed(1),
      });
      return;
    }
    const [fixed = 0, own = 0, ahead = 0, occupancy = 0] = this.getFit(
      service,
      fits,
    );
    this.options.log.info('server_model', {
      service,
      fixed_ms: fixed.toFixed(1),
      own_ms_per_ktoken: own.toFixed(2),
      ahead_ms_per_ktoken: ahead.toFixed(2),
      full_ms: occupancy.toFixed(1),
      weight: fits.sums.services.get(service)?.[0]?.toFixed(1),
    });
  }

  private isLogDue(key: string): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - (this.loggedMs.get(key) ?? -Infinity) < LOG_INTERVAL_MS) {
      return false;
    }
    this.loggedMs.delete(key);
    this.loggedMs.set(key, nowMs);
    const [oldest] = this.loggedMs.keys();
    if (this.loggedMs.size > MAX_SERVERS && oldest !== undefined) {
      this.loggedMs.delete(oldest);
    }
    return true;
  }
}

/** Returns a geometric mean with the prior of a route, in milliseconds. */
function getRouteMs(count: number, logs: number): number {
  const priorLogs = PRIOR_ROUTE_COUNT * Math.log(PRIOR_ROUTE_MS);
  return Math.exp((logs + priorLogs) / (count + PRIOR_ROUTE_COUNT));
}

/**
 * Returns the share of the expected time by which the most recent answers of a server to
 * all hosts were late.
 */
function getLateShare(key: string, own: Lateness, sums: ModelSums): number {
  const [peerCount = 0, peerShares = 0] = sums.late.get(key) ?? [];
  const count = own.count + peerCount + PRIOR_IN_TIME;
  return (own.shares + peerShares) / count;
}

function fitService(sums: readonly number[]): readonly number[] {
  const fit = fitLinear(sums, BOUNDS);
  const [, own = 0, ahead = 0] = fit;
  const minAhead = own * MIN_AHEAD_SHARE;
  if (ahead >= minAhead) {
    return fit;
  }
  const bounds = BOUNDS.map((bound, index) =>
    index === AHEAD ? {...bound, min: minAhead} : bound,
  );
  return fitLinear(sums, bounds);
}

function listFeatures(features: RequestFeatures): number[] {
  const {ownTokens, aheadTokens, occupancy} = features;
  return [
    1,
    ownTokens / TOKENS_PER_KTOKEN,
    aheadTokens / TOKENS_PER_KTOKEN,
    occupancy,
  ];
}

function limitDeviation(tookMs: number, expectedMs: number): number {
  const limitMs = Math.max(MAX_DEVIATION_MS, expectedMs * MAX_DEVIATION_SHARE);
  return Math.min(expectedMs + limitMs, Math.max(expectedMs - limitMs, tookMs));
}

function createRouteKey(service: string, route: string): string {
  return `${service}/${route}`;
}
