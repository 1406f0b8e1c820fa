import {ConnectionOutcome} from '../http/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {ServiceState} from './service_state.js';

/** A server to which connections can be tried. */
export interface ReachableServer {
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Dependencies of `ServiceReachability`. */
export interface ServiceReachabilityOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  /** Lists the servers of a service that take requests. */
  readonly listServers: (service: string) => readonly ReachableServer[];
  /** Data centre of this host, whose servers it may reach though others are cut off. */
  readonly dataCentre: string;
  /** Tries to open a connection to an address within a time in milliseconds. */
  readonly tryConnection: (
    address: string,
    timeoutMs: number,
  ) => Promise<ConnectionOutcome>;
  /** Closes the idle connections to a server. */
  readonly closeIdle: (server: string) => void;
}

/** Called when the servers of a service become unreachable, or reachable again. */
export type ReachabilityListener = (
  service: string,
  isReachable: boolean,
) => void;

/**
 * Servers of this host's data centre, and of others, to which a check tries connections.
 * That none of several is reachable is rarely the fault of the servers, and a host that is
 * cut off from other data centres only goes on with the servers of its own.
 */
const CHECKED_NEAR_SERVERS = 2;
const CHECKED_FAR_SERVERS = 3;
/**
 * Servers that are checked besides if all of these refuse connections. A server that has just
 * terminated refuses them like one that this host is cut off from, and servers often terminate
 * together. A refusal takes one round trip, so that requests hardly wait longer for the result.
 */
const CHECKED_AFTER_REFUSALS = 16;
/** Servers of which one may have failed by itself. */
const MIN_SERVERS_TO_BLAME_HOST = 2;
/** Longest wait for a connection in a check; a round trip takes 40 ms between regions. */
const TRY_TIMEOUT_MS = 200;
/**
 * Time without a byte from any server of a service, while requests wait, after which its
 * servers are checked, in milliseconds.
 */
const SILENCE_MS = 400;
/** Time for which the result that a service is reachable is reused, in milliseconds. */
const REUSE_MS = 150;
/** Interval between checks of a service whose servers are unreachable, in milliseconds. */
const RECHECK_MS = 250;
/** Largest random addition to that interval, as a share of it. */
const RECHECK_JITTER = 0.5;
/** Checks in a row that must reach a server, so that a lossy link does not flap. */
const CHECKS_TO_RECOVER = 2;
/** Time before a service is found unreachable from which a broken connection counts, in ms. */
const BROKEN_MS = 1000;

/**
 * Tells, for each service, whether this host can open connections to its servers. A host
 * that reaches no server looks, from its own failures, like one whose servers have all
 * failed. When a connection fails, or all servers of a service are silent, connections to
 * several of its servers are tried; only if none opens, the service counts as unreachable
 * from here, and failures say nothing about its servers. Nothing of this is reported to
 * other hosts, which find out for themselves.
 */
export class ServiceReachability {
  private readonly states = new Map<string, ServiceState>();
  private readonly listeners: ReachabilityListener[] = [];
  private stopped: AbortSignal | undefined;

  constructor(private readonly options: ServiceReachabilityOptions) {
    const {metrics} = options;
    metrics.addLabelledGauge(
      'service_unreachable',
      'Whether this host can open no connection to the servers of a service',
      () =>
        [...this.states].map(([service, {unreachableSinceMs}]) => [
          {service},
          unreachableSinceMs === undefined ? 0 : 1,
        ]),
    );
    metrics.addCounter(
      'reachability_checks',
      'Checks whether servers of a service can be reached, by result',
    );
  }

  /** Adds a function that is called when a service becomes unreachable or reachable. */
  addListener(listener: ReachabilityListener): void {
    this.listeners.push(listener);
  }

  /** Sets the signal whose abort ends all checks. */
  async run(signal: AbortSignal): Promise<void> {
    this.stopped = signal;
  }

  /** Returns whether no new connection to the servers of a service can be opened. */
  isUnreachable(service: string): boolean {
    return this.states.get(service)?.unreachableSinceMs !== undefined;
  }

  /**
   * Returns whether failures of connections to a service are the fault of this host. Of a
   * service with a single server, this cannot be told.
   */
  isOwnFault(service: string): boolean {
    const state = this.states.get(service);
    return (
      state?.unreachableSinceMs !== undefined &&
      state.triedServers >= MIN_SERVERS_TO_BLAME_HOST
    );
  }

  /** Returns whether no connection to any server is known to work. */
  isCutOff(): boolean {
    const states = [...this.states.values()];
    return (
      states.length > 0 &&
      states.every(
        ({unreachableSinceMs, trustsOpenConnections}) =>
          unreachableSinceMs !== undefined && !trustsOpenConnections,
      )
    );
  }

  /** Returns whether open connections to an unreachable service may still deliver. */
  trustsOpenConnections(service: string): boolean {
    return this.states.get(service)?.trustsOpenConnections === true;
  }

  /**
   * Records that a request waits for an answer; returns the function that ends the wait.
   * While requests wait and all servers are silent, the service is checked.
   */
  beginWait(service: string): () => void {
    const state = this.getState(service);
    if (state.beginWait() === 1) {
      this.scheduleSilenceCheck(service, state);
    }
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        state.endWait();
      }
    };
  }

  /** Records that bytes of a server of a service have arrived. */
  addBytes(service: string): void {
    this.states.get(service)?.addBytes();
  }

  /**
   * Checks a service after a connection to one of its servers failed.
   * @param service - The service.
   * @param wasOpen - Whether the connection was open before.
   * @returns Whether its servers are unreachable from this host.
   */
  async check(service: string, wasOpen: boolean): Promise<boolean> {
    const state = this.getState(service);
    if (wasOpen) {
      this.addBrokenConnection(service, state);
    }
    if (state.unreachableSinceMs !== undefined) {
      return true;
    }
    const ageMs = this.options.clock.monotonicMs() - state.reachedMs;
    if (ageMs < REUSE_MS) {
      return false;
    }
    return this.runCheck(service, state);
  }

  private runCheck(service: string, state: ServiceState): Promise<boolean> {
    state.check ??= this.tryServers(service, state).finally(() => {
      state.check = undefined;
    });
    return state.check;
  }

  private async tryServers(
    service: string,
    state: ServiceState,
  ): Promise<boolean> {
    const {clock, metrics, tryConnection} = this.options;
    const sample = this.drawSample(service);
    const outcomes: ConnectionOutcome[] = [];
    const startMs = clock.monotonicMs();
    // One connection is enough while the service is reachable.
    const draws = [
      () => sample.slice(0, 1),
      () => sample.slice(1),
      () => (areAllRefused(outcomes) ? this.drawOthers(service, sample) : []),
    ];
    for (const draw of draws) {
      const tried = await Promise.all(
        draw().map(({address}) => tryConnection(address, TRY_TIMEOUT_MS)),
      );
      outcomes.push(...tried);
      if (outcomes.includes(ConnectionOutcome.OPENED)) {
        break;
      }
    }
    // Where packets are lost, bytes come from a server that is still reached; where new
    // connections are refused, they may come on connections that were open before.
    const hasHeard =
      !outcomes.includes(ConnectionOutcome.REFUSED) && state.heardMs > startMs;
    const isReachable =
      outcomes.length === 0 ||
      outcomes.includes(ConnectionOutcome.OPENED) ||
      hasHeard;
    metrics.increment('reachability_checks', {
      service,
      reachable: String(isReachable),
    });
    if (isReachable) {
      state.reachedMs = clock.monotonicMs();
      return false;
    }
    this.setUnreachable(service, state, outcomes);
    return true;
  }

  /** Draws the servers that a check tries first, near and far ones, in random order. */
  private drawSample(service: string): readonly ReachableServer[] {
    const {listServers, dataCentre} = this.options;
    const servers = this.shuffle(listServers(service));
    const near = servers.filter(server => server.dataCentre === dataCentre);
    const far = servers.filter(server => server.dataCentre !== dataCentre);
    return this.shuffle([
      ...near.slice(0, CHECKED_NEAR_SERVERS),
      ...far.slice(0, CHECKED_FAR_SERVERS),
    ]);
  }

  /** Draws the servers that a check tries once all of the sample have refused connections. */
  private drawOthers(
    service: string,
    sample: readonly ReachableServer[],
  ): readonly ReachableServer[] {
    const tried = new Set(sample.map(({id}) => id));
    const others = this.options
      .listServers(service)
      .filter(({id}) => !tried.has(id));
    return this.shuffle(others).slice(0, CHECKED_AFTER_REFUSALS);
  }

  private shuffle(servers: readonly ReachableServer[]): ReachableServer[] {
    return servers
      .map(server => ({server, order: this.options.random.next()}))
      .sort((a, b) => a.order - b.order)
      .map(({server}) => server);
  }

  private setUnreachable(
    service: string,
    state: ServiceState,
    outcomes: readonly ConnectionOutcome[],
  ): void {
    const {clock, log} = this.options;
    const nowMs = clock.monotonicMs();
    state.unreachableSinceMs = nowMs;
    state.triedServers = outcomes.length;
    state.recoveredChecks = 0;
    // A refusal arrives by the same way as answers on open connections would; silence, or
    // a broken connection, shows that these are cut as well.
    state.trustsOpenConnections =
      nowMs - state.brokenMs > BROKEN_MS && areAllRefused(outcomes);
    log.warn('service_unreachable', {
      service,
      tried: outcomes.length,
      outcomes: [...new Set(outcomes)].join(','),
      uses_open_connections: state.trustsOpenConnections,
    });
    if (!state.trustsOpenConnections) {
      this.closeIdle(service);
    }
    this.publish(service, false);
    this.scheduleRecheck(service, state);
  }

  private addBrokenConnection(service: string, state: ServiceState): void {
    state.brokenMs = this.options.clock.monotonicMs();
    if (state.trustsOpenConnections) {
      state.trustsOpenConnections = false;
      this.closeIdle(service);
    }
  }

  private scheduleRecheck(service: string, state: ServiceState): void {
    const {clock, random} = this.options;
    const delayMs = RECHECK_MS * (1 + RECHECK_JITTER * random.next());
    clock.startTimer(delayMs, () => void this.recheck(service, state));
  }

  private async recheck(service: string, state: ServiceState): Promise<void> {
    const {clock, log, tryConnection} = this.options;
    const [server] = this.drawSample(service);
    const isReachable =
      server === undefined ||
      (await tryConnection(server.address, TRY_TIMEOUT_MS)) ===
        ConnectionOutcome.OPENED;
    state.recoveredChecks = isReachable ? state.recoveredChecks + 1 : 0;
    if (this.stopped?.aborted === true) {
      return;
    }
    if (state.recoveredChecks < CHECKS_TO_RECOVER) {
      this.scheduleRecheck(service, state);
      return;
    }
    const nowMs = clock.monotonicMs();
    const tookMs = nowMs - (state.unreachableSinceMs ?? nowMs);
    state.unreachableSinceMs = undefined;
    state.trustsOpenConnections = false;
    state.reachedMs = nowMs;
    log.info('service_reachable', {service, after_ms: tookMs.toFixed(0)});
    this.publish(service, true);
  }

  /** Checks a service when all its servers are silent, as long as requests wait. */
  private scheduleSilenceCheck(service: string, state: ServiceState): void {
    const isKnown = state.unreachableSinceMs !== undefined;
    const remainingMs = SILENCE_MS - state.getSilenceMs();
    const delayMs = isKnown ? SILENCE_MS : Math.max(1, remainingMs);
    state.cancelTimer();
    state.cancelTimer = this.options.clock.startTimer(
      delayMs,
      () => void this.checkSilence(service, state),
    );
  }

  private async checkSilence(
    service: string,
    state: ServiceState,
  ): Promise<void> {
    const isSilent = state.isWaiting() && state.getSilenceMs() >= SILENCE_MS;
    if (isSilent && state.unreachableSinceMs === undefined) {
      await this.runCheck(service, state);
    }
    if (state.isWaiting() && this.stopped?.aborted !== true) {
      this.scheduleSilenceCheck(service, state);
    }
  }

  private closeIdle(service: string): void {
    for (const {id} of this.options.listServers(service)) {
      this.options.closeIdle(id);
    }
  }

  private publish(service: string, isReachable: boolean): void {
    for (const listener of this.listeners) {
      listener(service, isReachable);
    }
  }

  private getState(service: string): ServiceState {
    const known = this.states.get(service);
    if (known !== undefined) {
      return known;
    }
    const state = new ServiceState(this.options.clock);
    this.states.set(service, state);
    return state;
  }
}

function areAllRefused(outcomes: readonly ConnectionOutcome[]): boolean {
  return outcomes.every(outcome => outcome === ConnectionOutcome.REFUSED);
}
