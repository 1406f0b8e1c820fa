import {CallerApi} from '../caller/index.js';
import {ConfigurationStore} from '../configuration/index.js';
import {GenerationStore, ReclaimWatch} from '../generation/index.js';
import {countCallerDescriptors} from '../http/index.js';
import {Bookkeeper} from '../journal/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {OperatorApi} from '../operator/index.js';
import {Peers} from '../peer/index.js';
import {Quarantine, QuarantineRows} from '../quarantine/index.js';
import {Placer} from '../placement/index.js';
import {Settings} from '../settings/index.js';
import {Clock} from '../time/index.js';
import {ConfigurationFeed} from './configuration_feed.js';
import {Drain} from './drain.js';
import {HttpServer, splitAddress} from './http_server.js';
import {LoadPoller} from './load_poller.js';
import {PlatformWatcher} from './platform_watcher.js';
import {Self} from './self.js';

/** Components of the daemon. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly self: Self;
  readonly log: Log;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationStore;
  readonly callerApi: CallerApi;
  readonly operatorApi: OperatorApi;
  readonly peers: Peers;
  readonly bookkeeper: Bookkeeper;
  readonly store: GenerationStore;
  readonly drain: Drain;
  readonly feed: ConfigurationFeed;
  readonly poller: LoadPoller;
  readonly platform: PlatformWatcher;
  readonly reclaimWatch: ReclaimWatch;
  readonly placer: Placer;
  readonly quarantine: Quarantine;
  readonly quarantineRows: QuarantineRows;
}

/** Time in which a request of an operator has to arrive, in milliseconds. */
const OPERATORS_TIMEOUT_MS = 30_000;
/** Most connections of operators, balancers and collectors of metrics. */
const OPERATORS_CONNECTIONS = 256;
/** Pause between two clean-ups of the generation store, in milliseconds. */
const TRIM_INTERVAL_MS = 1000;
/** Part of a reclaim notice of this host that the drain leaves unused, in ms. */
const NOTICE_MARGIN_MS = 1500;

/** The process of an entry host: starts the components and stops them in order. */
export class Daemon {
  private readonly callers: HttpServer;
  private readonly operators: HttpServer;
  private readonly stopped = new AbortController();
  private leaving: Promise<void> | undefined;

  constructor(private readonly options: DaemonOptions) {
    const {settings, callerApi, operatorApi} = options;
    const {max_header_bytes: maxHeaderBytes, max_timeout_ms: maxTimeoutMs} =
      settings.callers;
    this.callers = new HttpServer(callerApi.createApp(), {
      maxHeaderBytes,
      requestTimeoutMs: maxTimeoutMs,
      maxConnections: countCallerDescriptors(settings.host.descriptors),
    });
    this.operators = new HttpServer(operatorApi.createApp(), {
      maxHeaderBytes,
      requestTimeoutMs: OPERATORS_TIMEOUT_MS,
      maxConnections: OPERATORS_CONNECTIONS,
    });
    this.addGauges();
  }

  /** Returns the number of callers' requests in flight. */
  countInFlight(): number {
    return this.callers.countInFlight();
  }

  /** Starts listening and all background tasks; resolves once callers can connect. */
  async start(): Promise<void> {
    const {settings, self, log, peers} = this.options;
    const {host, port} = splitAddress(settings.peers.address);
    await peers.listen(host, port);
    await this.operators.listen(settings.operators.address);
    this.startTasks();
    const callerPort = await this.callers.listen(settings.callers.address);
    log.info('started', {
      data_centre: self.dataCentre,
      incarnation: self.incarnation,
      callers: callerPort,
      revision: this.options.configuration.getRevision(),
    });
  }

  /**
   * Drains this host and stops. Further calls return the promise of the first.
   * @param graceMs - Longest time to wait for work in flight, in milliseconds.
   */
  stop(graceMs: number): Promise<void> {
    this.leaving ??= this.leave(graceMs);
    return this.leaving;
  }

  /**
   * Stops because the platform reclaims this host.
   * @param remainingMs - Time until the host is reclaimed, in milliseconds.
   */
  leaveOnNotice(remainingMs: number): void {
    const {settings, log} = this.options;
    if (this.leaving === undefined) {
      log.warn('reclaim_notice', {remaining_ms: Math.round(remainingMs)});
    }
    const usableMs = Math.max(0, remainingMs - NOTICE_MARGIN_MS);
    void this.stop(Math.min(settings.drain.grace_ms, usableMs));
  }

  /** Resolves once the daemon has stopped, for whatever reason. */
  waitForStop(): Promise<void> {
    return new Promise(resolve => {
      this.stopped.signal.addEventListener('abort', () => resolve(), {
        once: true,
      });
    });
  }

  private async leave(graceMs: number): Promise<void> {
    const {drain, log, peers, clock} = this.options;
    await drain.leave(graceMs);
    this.callers.stopListening();
    while (this.callers.countInFlight() > 0) {
      // The streams of generations that were handed over are ending now.
      await clock.sleep(10);
      if (this.options.store.listRunning().length === 0) {
        break;
      }
    }
    await clock.sleep(50);
    peers.stop();
    this.callers.stop();
    this.operators.stop();
    log.info('stopped');
    this.stopped.abort();
  }

  private startTasks(): void {
    const {feed, peers, bookkeeper, poller, platform, reclaimWatch} =
      this.options;
    const {signal} = this.stopped;
    this.options.configuration.addListener(() => peers.sendHeartbeatsNow());
    this.options.quarantine.addListener(() => peers.sendHeartbeatsNow());
    void platform.run(signal);
    void feed.run(signal);
    void peers.run(signal);
    void bookkeeper.watch(signal);
    void poller.run(signal);
    void reclaimWatch.run(signal);
    void this.options.placer.run(signal);
    void this.options.quarantineRows.run(signal);
    void this.trimStore(signal);
  }

  private async trimStore(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.options.store.trim();
      await this.options.clock.sleep(TRIM_INTERVAL_MS, signal);
    }
  }

  private addGauges(): void {
    const {metrics, configuration, bookkeeper, store, peers} = this.options;
    metrics.addGauge('configuration_revision', 'Revision in force', () =>
      configuration.getRevision(),
    );
    metrics.addGauge(
      'books_held',
      'Books held here',
      () => bookkeeper.listHeld().length,
    );
    metrics.addGauge(
      'generations_running',
      'Generations running',
      () => store.listRunning().length,
    );
    metrics.addGauge('calls_pending', 'At-most-once calls running here', () =>
      bookkeeper.countPending(),
    );
    metrics.addGauge(
      'peers_connected',
      'Peers connected',
      () => peers.listConnected().length,
    );
    metrics.addGauge('requests_in_flight', 'Requests being answered', () =>
      this.countInFlight(),
    );
  }
}
