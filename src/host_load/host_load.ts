import {Problem, problems} from '../errors/index.js';
import {Log, LogFields} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {CustomerShares} from './customer_shares.js';
import {decideAcceptance} from './decide_acceptance.js';
import {LoopDelayMeter} from './loop_delay_meter.js';
import {OverloadState} from './overload_state.js';
import {PendingConnections} from './pending_connections.js';
import {ProcessorMeter} from './processor_meter.js';
import {UnsentRequests} from './unsent_requests.js';
import {WeightedCustomer} from './weigh_customer.js';

/** Dependencies of a `HostLoad`. */
export interface HostLoadOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  /**
   * Returns whether requests are refused because of this host's load; by default, they
   * are. What has passed its deadline is refused in any case.
   */
  readonly refusesByLoad?: () => boolean;
  /**
   * Returns the time that the event loop has waited for events since the start of the
   * process, in milliseconds.
   */
  readonly readIdleMs: () => number;
  /** Calls a function after the event loop has read what waited on its sockets. */
  readonly afterPoll: (call: () => void) => void;
  /** Returns the processor time that this process has used, in milliseconds. */
  readonly readUsedMs: () => number;
  /** Returns the capacity of this host, in cores. */
  readonly getCores: () => number;
  /** Returns the number of this host's requests in flight at servers. */
  readonly countInFlight: () => number;
  /**
   * Returns the mean number of requests in flight of the other hosts that report; absent if
   * none does.
   */
  readonly getMeanPeerLoad: () => number | undefined;
}

/** A request whose head has arrived. */
export interface Arrival {
  /** Estimated time of arrival, in monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Deadline in monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Rank of its route; 0 is the most urgent. */
  readonly rank: number;
  /** Latency target in milliseconds. */
  readonly targetMs: number;
  /** Its customer; absent without a key or a rate. */
  readonly customer?: WeightedCustomer;
}

/** An accepted request until it is sent to a server. */
export interface TrackedArrival {
  /** Records that it is sent to a server; has no effect after the first call. */
  addSend(): void;
  /** Records that it has ended, sent or not. */
  end(): void;
}

/** Refusal of a request by an overloaded host. */
export interface HostRefusal {
  readonly problem: Problem;
  /** The figures that decided, for the log. */
  readonly fields: LogFields;
}

/** Shortest retry delay by rank, in seconds, so that urgent requests return first. */
const RETRY_S = [0.15, 0.5, 1] as const;
/**
 * Random addition to the retry delay, as a multiple of it: refused callers do not return
 * together, to this host or another one.
 */
const RETRY_SPREAD = 1.5;
const MS_PER_SECOND = 1000;
const SHARE_DIGITS = 2;

/**
 * Expected own delay from which connections are closed unread at a host that has far more to do
 * than the others, in milliseconds. A caller is at another host sooner than it would be served
 * here, and what waits longer is read after its caller has left.
 */
const SHED_DELAY_MS = 50;
/** Load of a crowded host, as a multiple of the mean of the others. */
const CROWD_FACTOR = 3;
/** Requests beyond that: a few more than the others have are no crowd. */
const MIN_CROWD = 10;

/** Measures the load of this host, and refuses requests while it is overloaded. */
export class HostLoad {
  private readonly meter: LoopDelayMeter;
  private readonly unsent = new UnsentRequests();
  private readonly processor: ProcessorMeter;
  private readonly shares: CustomerShares;
  private readonly state: OverloadState;
  private readonly connections: PendingConnections;
  private wasOverloaded = false;
  /** Requests refused since the start of the overload. */
  private refused = 0;
  /** Connections closed unread since the start of the overload. */
  private shed = 0;

  constructor(private readonly options: HostLoadOptions) {
    const {clock} = options;
    this.meter = new LoopDelayMeter({
      ...options,
      onSample: () => this.update(),
    });
    this.processor = new ProcessorMeter(options);
    this.shares = new CustomerShares(clock);
    this.state = new OverloadState({
      clock,
      meter: this.meter,
      unsent: this.unsent,
    });
    this.connections = new PendingConnections({
      isBusy: () => this.meter.isBusy(),
      afterPoll: options.afterPoll,
    });
    this.addMetrics();
  }

  /** Measures until the signal is aborted. */
  run(signal: AbortSignal): Promise<void> {
    this.meter.start();
    return new Promise(resolve => {
      const stop = () => {
        this.meter.stop();
        resolve();
      };
      signal.addEventListener('abort', stop, {once: true});
    });
  }

  /**
   * Estimates when a request arrived that is read now, in monotonic milliseconds: while the
   * event loop is late, requests wait in the kernel.
   */
  estimateArrivalMs(): number {
    return this.options.clock.monotonicMs() - this.meter.getReadDelayMs();
  }

  /**
   * Lets events that wait in the kernel be handled, such as that a caller has closed its
   * connection. Returns `undefined` if the event loop is on time.
   */
  handlePendingEvents(): Promise<void> | undefined {
    return this.meter.getReadDelayMs() === 0
      ? undefined
      : new Promise(resolve => this.options.afterPoll(resolve));
  }

  /** Records that a connection of a caller was accepted. */
  addConnection(): void {
    this.connections.add();
  }

  /** See `PendingConnections.accept`. */
  acceptConnections(): Promise<void> | undefined {
    return this.connections.accept();
  }

  /**
   * Returns whether a new connection is to be closed unread: this host does not keep up with the
   * connections that the load balancer gives it, and others have far less to do.
   */
  shedsConnection(): boolean {
    const isShed =
      this.state.getOwnDelayMs() >= SHED_DELAY_MS && this.isCrowded();
    if (isShed) {
      this.shed++;
      this.options.metrics.increment('connections_shed');
    }
    return isShed;
  }

  /** Tracks an accepted request until it is sent to a server. */
  track(arrivedMs: number): TrackedArrival {
    const {clock} = this.options;
    const acceptedMs = clock.monotonicMs();
    const expectedMs = this.state.getUncorrectedMs();
    const request = this.unsent.add(arrivedMs);
    return {
      ...request,
      addSend: () => {
        if (request.addSend()) {
          this.state.addSend(expectedMs, clock.monotonicMs() - acceptedMs);
        }
      },
    };
  }

  /** Returns whether this host is overloaded; never, if its load is not measured. */
  isOverloaded(): boolean {
    return this.state.isOverloaded();
  }

  /** Decides on a request; returns why it is refused, or `undefined` to accept it. */
  refuse(arrival: Arrival): HostRefusal | undefined {
    const {customer, rank, targetMs} = arrival;
    const refusesByLoad = this.options.refusesByLoad?.() ?? true;
    if (refusesByLoad && customer !== undefined) {
      this.shares.add(customer.name, customer.weight);
    }
    const nowMs = this.options.clock.monotonicMs();
    const processorShare = this.processor.getShare();
    const ownDelayMs = this.state.getOwnDelayMs();
    const waitedMs = nowMs - arrival.arrivedMs;
    const reason = decideAcceptance(
      {
        isOverloaded: refusesByLoad && this.state.isOverloaded(),
        ownDelayMs: refusesByLoad ? ownDelayMs : 0,
        ...(processorShare === undefined ? {} : {processorShare}),
      },
      {
        rank,
        targetMs,
        remainingMs: arrival.deadlineMs - nowMs,
        waitedMs,
        isAboveShare:
          customer !== undefined && this.shares.isAboveShare(customer.name),
      },
    );
    if (reason === undefined) {
      return undefined;
    }
    this.refused++;
    this.options.metrics.increment('host_refused', {
      reason,
      rank: String(rank),
    });
    return {
      problem: problems.hostOverloaded(this.getRetryS(rank)),
      fields: {
        cause: reason,
        rank,
        customer: customer?.name,
        waited_ms: waitedMs.toFixed(0),
        own_delay_ms: ownDelayMs.toFixed(0),
        unsent: this.unsent.count(),
      },
    };
  }

  private update(): void {
    this.processor.update();
    const durationMs = this.state.getDurationMs();
    this.state.update();
    const isOverloaded = this.state.isOverloaded();
    if (isOverloaded === this.wasOverloaded) {
      return;
    }
    this.wasOverloaded = isOverloaded;
    this.options.log.warn('host_overloaded', {
      state: isOverloaded ? 'start' : 'end',
      loop_delay_ms: this.meter.getDelayMs().toFixed(0),
      standing_ms: this.meter.getStandingMs().toFixed(0),
      unsent: this.unsent.count(),
      oldest_unsent_ms: this.getOldestUnsentMs().toFixed(0),
      processor_share: this.processor.getShare()?.toFixed(SHARE_DIGITS),
      ...(isOverloaded
        ? {}
        : {
            duration_ms: durationMs.toFixed(0),
            refused: this.refused,
            shed: this.shed,
          }),
    });
    this.refused = 0;
    this.shed = 0;
  }

  private getOldestUnsentMs(): number {
    return this.unsent.getOldestMs(this.options.clock.monotonicMs());
  }

  private isCrowded(): boolean {
    const {countInFlight, getMeanPeerLoad} = this.options;
    const peerLoad = getMeanPeerLoad();
    const ownLoad = countInFlight() + this.unsent.count();
    return (
      peerLoad !== undefined && ownLoad >= CROWD_FACTOR * peerLoad + MIN_CROWD
    );
  }

  private getRetryS(rank: number): number {
    const minS = RETRY_S[Math.min(rank, RETRY_S.length - 1)] ?? 0;
    return minS * (1 + RETRY_SPREAD * this.options.random.next());
  }

  private addMetrics(): void {
    const {metrics} = this.options;
    metrics.addCounter('host_refused', 'Requests refused by host load');
    metrics.addCounter(
      'connections_shed',
      'Connections closed unread as this host got far more than others',
    );
    metrics.addGauge('host_overloaded', 'Whether this host is overloaded', () =>
      Number(this.state.isOverloaded()),
    );
    metrics.addGauge(
      'host_loop_delay_seconds',
      'Last measured delay of the event loop',
      () => this.meter.getDelayMs() / MS_PER_SECOND,
    );
    metrics.addGauge(
      'host_own_delay_seconds',
      'Time that an accepted request is expected to wait in this host',
      () => this.state.getOwnDelayMs() / MS_PER_SECOND,
    );
    metrics.addGauge(
      'host_oldest_unsent_seconds',
      'Age of the oldest request not yet sent to a server',
      () => this.getOldestUnsentMs() / MS_PER_SECOND,
    );
    metrics.addGauge(
      'host_processor_share',
      'Share of the processor capacity used',
      () => this.processor.getShare() ?? 0,
    );
  }
}
