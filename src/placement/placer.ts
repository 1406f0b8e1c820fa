import {EngineCommandKind, ModelEngine} from '../backend/index.js';
import {Deployment} from '../configuration/index.js';
import {Lease} from '../lease/index.js';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {
  decidePlacement,
  PlaceableServer,
  PlacementOrder,
} from './decide_placement.js';

/** Dependencies and settings of the placer. */
export interface PlacerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly lease: Lease;
  readonly listDeployments: () => Iterable<Deployment>;
  readonly listServers: () => readonly Omit<PlaceableServer, 'busy'>[];
  readonly getEngine: (server: string) => ModelEngine | undefined;
  /** Number of loads that the weight store allows per second. */
  readonly loadsPerSecond: number;
  /** Pause between two checks, in milliseconds. */
  readonly pollMs: number;
}

/**
 * Time that must remain on the lease when an order is sent. If an engine that
 * does not check fencing numbers receives the order with up to this delay, the
 * sender still holds the lease.
 */
const ORDER_LIFETIME_MS = 1000;

/**
 * Places models, adapters and versions on engines while this host holds the
 * placement lease. Engines that check the fencing number refuse orders of an
 * earlier holder. For the others, the lease is checked again right before each
 * order, only one order is in flight per server, and orders are idempotent.
 */
export class Placer {
  private readonly busy = new Set<string>();
  /** Loads that may start now: the level of a token bucket. */
  private tokens = 1;
  private refilledMs: number;

  constructor(private readonly options: PlacerOptions) {
    this.refilledMs = options.clock.monotonicMs();
  }

  /** Checks periodically until aborted, then releases the lease. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.check();
      await this.options.clock.sleep(this.options.pollMs, signal);
    }
    await this.options.lease.release();
  }

  /** Claims the lease and, if it is held, sends the orders that are due. */
  async check(): Promise<void> {
    const held = await this.options.lease.claim();
    if (held === undefined) {
      return;
    }
    this.refill();
    const servers = this.options
      .listServers()
      .map(server => ({...server, busy: this.busy.has(server.name)}));
    const loads = Math.floor(this.tokens);
    const deployments = this.options.listDeployments();
    for (const order of decidePlacement(deployments, servers, {loads})) {
      this.tokens--;
      void this.sendOrder(order);
    }
  }

  private async sendOrder(order: PlacementOrder): Promise<void> {
    const {clock, lease, log} = this.options;
    const engine = this.options.getEngine(order.server);
    const held = lease.getHeld();
    if (
      engine === undefined ||
      held === undefined ||
      held.untilMs - clock.monotonicMs() < ORDER_LIFETIME_MS
    ) {
      return;
    }
    this.busy.add(order.server);
    const {model, version, adapter} = order;
    const result = await engine.sendCommand({
      kind:
        adapter === undefined
          ? EngineCommandKind.LOAD_MODEL
          : EngineCommandKind.LOAD_ADAPTER,
      fence: held.fence,
      model,
      version,
      ...(adapter === undefined ? {} : {adapter}),
    });
    this.busy.delete(order.server);
    log.info('placement', {
      server: order.server,
      deployment: order.deployment,
      model: `${model}@${version}`,
      adapter,
      fence: held.fence,
      reason: order.reason,
      given: result.isOk,
      detail: result.isErr ? result.error.message : undefined,
    });
  }

  private refill(): void {
    const {clock, loadsPerSecond} = this.options;
    const nowMs = clock.monotonicMs();
    const earned = ((nowMs - this.refilledMs) / 1000) * loadsPerSecond;
    this.tokens = Math.min(Math.max(1, loadsPerSecond), this.tokens + earned);
    this.refilledMs = nowMs;
  }
}
