import {EngineOrderKind, ModelEngine} from '../backend/index.js';
import {Deployment} from '../configuration/index.js';
import {Lease} from '../lease/index.js';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {
  decidePlacement,
  PlaceableServer,
  PlacementOrder,
} from './decide_placement.js';

/** What the placer works with. */
export interface PlacerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly lease: Lease;
  readonly listDeployments: () => Iterable<Deployment>;
  readonly listServers: () => readonly Omit<PlaceableServer, 'busy'>[];
  readonly getEngine: (server: string) => ModelEngine | undefined;
  /** Loads that the weight store allows per second. */
  readonly loadsPerSecond: number;
  /** Pause between two looks, in milliseconds. */
  readonly pollMs: number;
}

/**
 * Time that must be left on the lease when an order is sent, in milliseconds.
 * An engine that ignores fencing numbers may still get the order this much
 * later than it was sent, and it is then still the holder's.
 */
const ORDER_LIFETIME_MS = 1000;

/**
 * Places models, adapters and versions on engines, while this host holds the
 * placement lease. Engines that check the fencing number refuse an old holder;
 * for those that do not, the lease is looked at again right before each order,
 * one order is under way per server, and an order may be repeated.
 */
export class Placer {
  private readonly busy = new Set<string>();
  private tokens = 1;
  private refilledMs: number;

  constructor(private readonly options: PlacerOptions) {
    this.refilledMs = options.clock.monotonicMs();
  }

  /** Looks until aborted, then gives the lease up. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.look();
      await this.options.clock.sleep(this.options.pollMs, signal);
    }
    await this.options.lease.release();
  }

  /** Claims the lease and gives the orders that are due. */
  async look(): Promise<void> {
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
      void this.give(order);
    }
  }

  private async give(order: PlacementOrder): Promise<void> {
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
    const given = await engine.give({
      kind:
        adapter === undefined
          ? EngineOrderKind.LOAD_MODEL
          : EngineOrderKind.LOAD_ADAPTER,
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
      given: given.isOk,
      detail: given.isErr ? given.error.message : undefined,
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
