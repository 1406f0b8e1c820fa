import {Log} from '../log/index.js';
import {RestorationWatch, TableFailureKind} from '../table/index.js';
import {Clock} from '../time/index.js';
import {ActiveRollout} from './active_rollout.js';
import {
  decideRollout,
  ExposureBound,
  RolloutAction,
  RolloutDecision,
} from './decide_rollout.js';
import {isFinal, Rollout, RolloutState} from './rollout.js';
import {RolloutOrder} from './rollout_order.js';
import {RolloutOrders} from './rollout_orders.js';
import {RolloutStore, StoredRollout} from './rollout_store.js';
import {
  RolloutReply,
  RolloutReport,
  RolloutDirective,
} from './rollout_messages.js';
import {sumVersionCounts, VersionCounts} from './version_counts.js';
import {findMajorityVersion} from './version_selector.js';
import {VersionCounter} from './version_counter.js';

/** Options of the driver. */
export interface RolloutDriverOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Returns the fence under which this host holds the duty; `undefined` without it. */
  readonly getFence: () => number | undefined;
  readonly orders: RolloutOrders;
  readonly store: RolloutStore;
  readonly counter: VersionCounter;
  /** Host name and incarnation of this process. */
  readonly origin: string;
  readonly hasService: (service: string) => boolean;
  /** Counts the servers of a service that accept work, by version. */
  readonly countReady: (service: string) => ReadonlyMap<string, number>;
  /** Returns the time of the table's clock, in ms; `undefined` until it is known. */
  readonly getTableTimeMs: () => number | undefined;
  readonly getBound: () => ExposureBound;
}

const STEP_INTERVAL_MS = 250;
/** Pause between checks for an order while there is none, in milliseconds. */
const IDLE_INTERVAL_MS = 1000;
/** Time for which a new holder collects the counts of all hosts before it acts, in ms. */
const COLLECT_COUNTS_MS = 1500;

/**
 * Drives rollouts to their end while this host holds the duty: sums the counts of all
 * hosts, decides and stores each step, and sends directives to the hosts that report.
 */
export class RolloutDriver {
  private readonly active = new Map<string, ActiveRollout>();
  /** Numbers of the orders that are ignored; each is logged once. */
  private readonly ignored = new Set<number>();
  private fence: number | undefined;
  private readonly restorations: RestorationWatch;
  /** Services whose stored rollout may be lost or outdated. */
  private readonly lost = new Set<string>();

  constructor(private readonly options: RolloutDriverOptions) {
    this.restorations = new RestorationWatch(options.store);
  }

  /** Runs until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isIdle = this.options.orders.list().length === 0;
      await this.options.clock.sleep(
        isIdle ? IDLE_INTERVAL_MS : STEP_INTERVAL_MS,
        signal,
      );
      await this.step();
    }
  }

  /** Makes the next step of each rollout, if this host holds the duty. */
  async step(): Promise<void> {
    const fence = this.options.getFence();
    if (fence !== this.fence) {
      // Rollouts known under another fence may have advanced without this host.
      this.active.clear();
      this.lost.clear();
      this.fence = fence;
    }
    this.checkRestored();
    if (fence === undefined) {
      return;
    }
    await this.writeLost();
    for (const order of this.options.orders.list()) {
      const active = await this.getActive(order);
      if (active !== undefined && !isFinal(active.rollout)) {
        await this.advance(active);
      }
    }
  }

  /**
   * Handles the report of a host.
   * @param report - The report.
   * @param origin - Name and incarnation of the host.
   * @returns The directive for the host, if this host holds the duty and has one.
   */
  handleReport(report: RolloutReport, origin: string): RolloutReply {
    const fence = this.options.getFence();
    if (fence === undefined) {
      return {isHolder: false};
    }
    const active = this.active.get(report.service);
    const isKnown = active?.rollout.order === report.order;
    if (active === undefined || !isKnown || fence !== this.fence) {
      return {isHolder: true};
    }
    active.setCounts(origin, report.counts);
    return {isHolder: true, word: createDirective(active, fence)};
  }

  /** Returns whether the store was restored from a copy since the last call. */
  private checkRestored(): boolean {
    const hasRestored = this.restorations.hasRestored();
    if (hasRestored) {
      for (const service of this.active.keys()) {
        this.lost.add(service);
      }
    }
    return hasRestored;
  }

  /** Stores rollouts again that the store may have lost when it was restored. */
  private async writeLost(): Promise<void> {
    const {store, log} = this.options;
    for (const service of this.lost) {
      const active = this.active.get(service);
      const read = await store.read(service);
      if (active === undefined || read.isErr) {
        continue;
      }
      if ((read.value?.rollout.order ?? 0) > active.rollout.order) {
        this.lost.delete(service);
        continue;
      }
      const written = await store.write(
        active.rollout,
        read.value?.version ?? 0,
      );
      if (written.isOk) {
        active.version = written.value;
        this.lost.delete(service);
        log.info('rollout_written_again', {
          service,
          order: active.rollout.order,
          state: active.rollout.state,
        });
      }
    }
  }

  private async getActive(
    order: RolloutOrder,
  ): Promise<ActiveRollout | undefined> {
    const known = this.active.get(order.service);
    if (known?.rollout.order === order.number) {
      return known;
    }
    const {clock} = this.options;
    const stored = await this.load(order);
    if (stored === undefined) {
      return undefined;
    }
    const {rollout, version} = stored;
    const active = new ActiveRollout(rollout, version, clock.monotonicMs());
    this.active.set(order.service, active);
    return active;
  }

  /** Reads the stored rollout of an order, or begins it. */
  private async load(order: RolloutOrder): Promise<StoredRollout | undefined> {
    const {store, hasService, countReady} = this.options;
    if (this.ignored.has(order.number)) {
      return undefined;
    }
    if (!hasService(order.service)) {
      return this.ignore(
        order,
        'no such service; order a rollout of a configured service',
      );
    }
    const read = await store.read(order.service);
    if (read.isErr) {
      return undefined;
    }
    const stored = read.value;
    if (stored !== undefined && stored.rollout.order >= order.number) {
      return stored.rollout.order === order.number ? stored : undefined;
    }
    const versions = countReady(order.service);
    if (versions.size === 0) {
      return undefined;
    }
    const from = findPreviousVersion(order, stored, versions);
    if (from === undefined) {
      return this.ignore(
        order,
        'the service already runs this version; order another version',
      );
    }
    return this.begin(order, from, stored?.version ?? 0);
  }

  private async begin(
    order: RolloutOrder,
    from: string,
    version: number,
  ): Promise<StoredRollout | undefined> {
    const {service, to, durationMs, number} = order;
    const startedMs = this.options.getTableTimeMs();
    if (startedMs === undefined) {
      return undefined;
    }
    const rollout: Rollout = {
      service,
      order: number,
      from,
      to,
      durationMs,
      startedMs,
      state: RolloutState.RUNNING,
    };
    const written = await this.options.store.write(rollout, version);
    if (written.isErr) {
      return undefined;
    }
    this.options.log.info('rollout_begun', {
      service,
      from,
      to,
      duration_ms: durationMs,
      order: number,
    });
    return {rollout, version: written.value};
  }

  private ignore(order: RolloutOrder, reason: string): undefined {
    const {service, to, number} = order;
    this.ignored.add(number);
    this.options.log.warn('rollout_ignored', {
      service,
      to,
      order: number,
      reason,
    });
    return undefined;
  }

  private async advance(active: ActiveRollout): Promise<void> {
    const {clock, counter, origin, getTableTimeMs} = this.options;
    const {rollout} = active;
    const nowMs = getTableTimeMs();
    active.setCounts(origin, counter.list(rollout.service));
    const hasCollectedCounts =
      clock.monotonicMs() - active.dutySinceMs >= COLLECT_COUNTS_MS;
    if (
      nowMs === undefined ||
      (!hasCollectedCounts && active.rollbackReason === undefined)
    ) {
      return;
    }
    const counts = active.sum();
    const decision = this.decide(active, counts, nowMs);
    if (
      decision.share !== active.share ||
      decision.act !== RolloutAction.CONTINUE
    ) {
      this.logStep(active, decision, counts);
    }
    await this.act(active, decision, nowMs);
  }

  private decide(
    active: ActiveRollout,
    counts: readonly VersionCounts[],
    nowMs: number,
  ): RolloutDecision {
    const {rollout, rollbackReason} = active;
    if (rollbackReason !== undefined) {
      return {act: RolloutAction.ROLL_BACK, share: 0, reason: rollbackReason};
    }
    const {clock, countReady, getBound} = this.options;
    const ready = countReady(rollout.service);
    return decideRollout({
      rollout,
      nowMs,
      counts,
      recent: active.sumRecent(clock.monotonicMs(), counts),
      readyOldServers: ready.get(rollout.from) ?? 0,
      readyNewServers: ready.get(rollout.to) ?? 0,
      bound: getBound(),
    });
  }

  private async act(
    active: ActiveRollout,
    {act, share, reason}: RolloutDecision,
    nowMs: number,
  ): Promise<void> {
    switch (act) {
      case RolloutAction.CONTINUE:
        active.share = share;
        return;
      case RolloutAction.SHIFT:
        await this.write(active, {shiftedMs: nowMs});
        return;
      case RolloutAction.COMPLETE:
        await this.write(active, {state: RolloutState.COMPLETED});
        return;
      case RolloutAction.ROLL_BACK:
        // Hosts stop using the version at once, even if this cannot be stored now.
        active.share = 0;
        active.rollbackReason = reason;
        await this.write(active, {state: RolloutState.ROLLED_BACK});
        return;
    }
  }

  /** Stores a step; one that cannot be stored now is decided again later. */
  private async write(
    active: ActiveRollout,
    change: Partial<Rollout>,
  ): Promise<void> {
    const {store, getFence} = this.options;
    const next = {...active.rollout, ...change};
    if (getFence() !== this.fence) {
      return;
    }
    const written = await store.write(next, active.version);
    if (written.isOk) {
      active.rollout = next;
      active.version = written.value;
      return;
    }
    if (this.checkRestored()) {
      // What is stored now is older than what this host knows.
      return;
    }
    if (written.error.kind !== TableFailureKind.UNREACHED) {
      await this.reload(active);
    }
  }

  /** Reads the stored state again after a write that was rejected or has an unknown result. */
  private async reload(active: ActiveRollout): Promise<void> {
    const read = await this.options.store.read(active.rollout.service);
    const stored = read.unwrapOr(undefined);
    if (stored?.rollout.order === active.rollout.order) {
      active.rollout = stored.rollout;
      active.version = stored.version;
    }
  }

  private logStep(
    {rollout}: ActiveRollout,
    {act, share, reason}: RolloutDecision,
    counts: readonly VersionCounts[],
  ): void {
    const newCounts = sumVersionCounts(rollout.to, counts);
    const oldCounts = sumVersionCounts(rollout.from, counts);
    this.options.log.info('rollout_step', {
      service: rollout.service,
      from: rollout.from,
      to: rollout.to,
      act,
      share,
      reason,
      sent: newCounts.sent,
      answers: newCounts.answers,
      bad: newCounts.bad,
      sent_beside: oldCounts.sent,
      answers_beside: oldCounts.answers,
      bad_beside: oldCounts.bad,
    });
  }
}

/**
 * Returns the version that serves before an order; `undefined` if the service already
 * runs the ordered version.
 */
function findPreviousVersion(
  {to}: RolloutOrder,
  stored: StoredRollout | undefined,
  versions: ReadonlyMap<string, number>,
): string | undefined {
  if (stored !== undefined) {
    const {state, from, to: last} = stored.rollout;
    const serving = state === RolloutState.COMPLETED ? last : from;
    return serving === to ? undefined : serving;
  }
  const others = new Map([...versions].filter(([version]) => version !== to));
  return others.size === 0 ? undefined : findMajorityVersion(others);
}

function createDirective(
  {rollout, share}: ActiveRollout,
  fence: number,
): RolloutDirective {
  const {service, order, from, to, state} = rollout;
  return {service, order, from, to, state, share, fence};
}
