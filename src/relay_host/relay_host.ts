import {Provisioner} from '../provisioning/index.js';
import {CatalogStore} from '../catalog/index.js';
import {Fleet} from '../fleet/index.js';
import {Duty} from '../lease/index.js';
import {Log} from '../log/index.js';
import {Peers} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {UsageReporter} from '../usage/index.js';
import {CallerListener} from './caller_listener.js';
import {ShutdownState} from './shutdown_state.js';
import {RelayHostSettings} from './relay_host_settings.js';

/** Runs a component until it is aborted. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** Serves status information, such as readiness or metrics, on an address of its own. */
export interface StatusListener {
  listen(host: string, port: number): Promise<void>;
  stop(): void;
}

/** Dependencies of a `RelayHost`. */
export interface RelayHostOptions {
  readonly settings: RelayHostSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly state: ShutdownState;
  readonly peers: Peers;
  readonly duty: Duty;
  readonly reporter: UsageReporter;
  readonly provisioner: Provisioner;
  readonly callerListener: CallerListener;
  /** Accepts the requests that other hosts forward. */
  readonly forwardListener: CallerListener;
  readonly ready: StatusListener;
  readonly metrics: StatusListener;
  /** Further tasks of the platform's components, such as updating replicas. */
  readonly tasks: readonly Task[];
}

/**
 * Time in which the platform directs new connections elsewhere after the first "not ready"
 * response, in milliseconds: two readiness checks one second apart, and one in reserve.
 */
const READINESS_DELAY_MS = 3000;
/**
 * Part of the grace period that is reserved for the exit of the process, in milliseconds.
 */
const EXIT_RESERVE_MS = 500;
const POLL_MS = 50;
/** Time after the last answer for its bytes to be sent, in milliseconds. */
const FLUSH_DELAY_MS = 100;
/** Time in which requests that are cut at the end log it, in milliseconds. */
const LOG_DELAY_MS = 50;

/** Entry host that relays requests: starts its components and stops them in order. */
export class RelayHost {
  private readonly stopped = new AbortController();
  private readonly dutiesStopped = new AbortController();
  private stopping: Promise<void> | undefined;

  constructor(private readonly options: RelayHostOptions) {}

  /** Tells whether the host should get new connections. */
  static isReady(
    catalog: CatalogStore,
    fleet: Fleet,
    state: ShutdownState,
  ): boolean {
    return RelayHost.isInitialized(catalog, fleet) && !state.isStopping();
  }

  /** Tells whether the host has what it needs to serve: configuration and servers. */
  static isInitialized(catalog: CatalogStore, fleet: Fleet): boolean {
    return catalog.getView() !== undefined && fleet.hasServers();
  }

  /** Starts to listen, and starts every task. */
  async start(): Promise<void> {
    const {settings, log, peers, callerListener, forwardListener} =
      this.options;
    const {ready, metrics} = this.options;
    await metrics.listen(...splitAddress(settings.metricsAddress));
    await peers.listen(...splitAddress(settings.peersAddress));
    await ready.listen(...splitAddress(settings.readyAddress));
    await forwardListener.listen(...splitAddress(settings.forwardingAddress));
    await callerListener.listen(...splitAddress(settings.callersAddress));
    this.startTasks();
    log.info('started', {
      data_centre: settings.dataCentre,
      callers: settings.callersAddress,
      peers: settings.peersAddress,
      uptime_ms: Math.round(process.uptime() * 1000),
    });
  }

  /**
   * Stops the host; resolves when it has stopped. Requests in progress may complete within
   * the grace period.
   */
  stop(): Promise<void> {
    this.stopping ??= this.drainAndStop();
    return this.stopping;
  }

  private startTasks(): void {
    const {peers, tasks} = this.options;
    const {signal} = this.stopped;
    for (const task of tasks) {
      void task(signal);
    }
    void peers.run(signal);
    this.startDuties();
  }

  private startDuties(): void {
    const {settings, duty, reporter, provisioner} = this.options;
    const {signal} = this.dutiesStopped;
    if (settings.reportsUsage || settings.ordersServers) {
      void duty.run(signal);
    }
    if (settings.reportsUsage) {
      void reporter.run(signal);
    }
    if (settings.ordersServers) {
      void provisioner.run(signal);
    }
  }

  private async drainAndStop(): Promise<void> {
    const {clock, settings, state, callerListener, log, peers} = this.options;
    const {forwardListener} = this.options;
    const startMs = clock.monotonicMs();
    state.setStopping();
    log.info('stopping', {busy: callerListener.countBusyConnections()});
    peers.sendHeartbeatsNow();
    callerListener.startDraining();
    forwardListener.startDraining();
    this.dutiesStopped.abort();
    void this.flushUsage();
    await clock.sleep(Math.min(READINESS_DELAY_MS, settings.graceMs / 2));
    callerListener.stopListening();
    forwardListener.stopListening();
    const drainUntilMs = startMs + settings.graceMs - EXIT_RESERVE_MS;
    while (
      this.countBusyConnections() > 0 &&
      clock.monotonicMs() < drainUntilMs
    ) {
      await clock.sleep(POLL_MS);
    }
    await this.flushUsage();
    await clock.sleep(FLUSH_DELAY_MS);
    log.info('stopped', {cut: this.countBusyConnections()});
    this.stopped.abort();
    callerListener.stop();
    forwardListener.stop();
    await clock.sleep(LOG_DELAY_MS);
    this.options.ready.stop();
    this.options.metrics.stop();
    peers.stop();
  }

  /** Counts the connections with requests of callers or of other hosts. */
  private countBusyConnections(): number {
    const {callerListener, forwardListener} = this.options;
    return (
      callerListener.countBusyConnections() +
      forwardListener.countBusyConnections()
    );
  }

  private async flushUsage(): Promise<void> {
    const {settings, reporter} = this.options;
    if (settings.reportsUsage) {
      await reporter.flush();
    }
  }
}

function splitAddress(address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
