import {Metrics} from '../../src/metrics/index.js';
import {Random} from '../../src/random/index.js';
import {SharedRetryBudget} from '../../src/retry_budget/index.js';
import {VirtualClock} from '../../src/time/index.js';

/** Requests of one service at all hosts. */
export interface Traffic {
  readonly perSecond: number;
  /** Share of the attempts that fail, 0 to 1. */
  readonly failing: number;
}

/** Limit on the retries of all hosts together. */
export interface FleetLimit {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
}

interface Host {
  /** Budget of its process; absent until the process is up. */
  budget?: SharedRetryBudget;
  /** When its process is up, milliseconds of the virtual clock. */
  upMs: number;
  /** When the other hosts know it, milliseconds of the virtual clock. */
  readonly knownMs: number;
  /** Share of the traffic relative to other hosts. */
  weight: number;
}

const SERVICE = 'ledger';
const MAX_RETRIES = 3;

/** Time after which a host forgets hosts that it does not reach. */
const EXPIRY_MS = 30_000;
const MS_PER_SECOND = 1000;

/** Retry budgets of several hosts on a virtual clock, and what they let through. */
export class HostFleet {
  private readonly clock = new VirtualClock();
  private readonly hosts: Host[] = [];
  private readonly requestsMs: number[] = [];
  private readonly retriesMs: number[] = [];
  private partitionMs = Number.POSITIVE_INFINITY;
  private healMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly limit: FleetLimit,
    hosts: number,
    private readonly random: Random,
    /** Time until a host that has started knows the other hosts, in milliseconds. */
    private readonly discoveryMs = 0,
  ) {
    for (let index = 0; index < hosts; index++) {
      this.hosts.push({upMs: 0, knownMs: 0, weight: 1});
    }
  }

  /** Returns the number of hosts, whether their processes are up or not. */
  count(): number {
    return this.hosts.length;
  }

  countRetries(): number {
    return this.retriesMs.length;
  }

  /** Kills a host's process; another one is up after some time. */
  restart(index: number, downMs: number): void {
    const host = this.hosts[index];
    if (host !== undefined) {
      const upMs = this.clock.monotonicMs() + downMs;
      const {knownMs, weight} = host;
      this.hosts[index] = {upMs, knownMs, weight};
    }
  }

  /** Adds hosts that the others do not know yet. */
  join(count = 1): void {
    const upMs = this.clock.monotonicMs();
    for (let index = 0; index < count; index++) {
      this.hosts.push({upMs, knownMs: upMs + this.discoveryMs, weight: 1});
    }
  }

  moveTraffic(): void {
    for (const host of this.hosts) {
      host.weight = this.random.next();
    }
  }

  /** Cuts the hosts of even and odd number off from each other. */
  partition(forMs: number): void {
    if (this.clock.monotonicMs() > this.healMs) {
      this.partitionMs = this.clock.monotonicMs();
      this.healMs = this.partitionMs + forMs;
    }
  }

  /** Sends the traffic of a time step to the hosts that are up. */
  async step(stepMs: number, {perSecond, failing}: Traffic): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    const up = this.hosts.filter(({upMs}) => upMs <= nowMs);
    for (const host of up) {
      host.budget ??= this.createBudget(host);
    }
    const weights = up.reduce((sum, {weight}) => sum + weight, 0);
    const expected = (perSecond * stepMs) / MS_PER_SECOND;
    const count = Math.floor(expected + this.random.next());
    for (let index = 0; index < count && up.length > 0; index++) {
      this.send(pick(up, this.random.next() * weights), failing);
    }
    await this.clock.advance(stepMs);
  }

  /**
   * Breaks off streams that the hosts have received before, in turn at each host that is up;
   * each asks for one retry. Returns how many get it.
   */
  breakStreams(count: number): number {
    const nowMs = this.clock.monotonicMs();
    const up = this.hosts.filter(({upMs}) => upMs <= nowMs);
    let retries = 0;
    for (let index = 0; index < count; index++) {
      if (up[index % up.length]?.budget?.spend(SERVICE) === true) {
        this.retriesMs.push(nowMs);
        retries++;
      }
    }
    return retries;
  }

  /** Returns by how much the retries of the worst window exceed what is allowed. */
  findWorstExcess(): number {
    const {ratio, windowMs, slack} = this.limit;
    let worst = Number.NEGATIVE_INFINITY;
    for (const fromMs of new Set(this.retriesMs)) {
      const requests = Math.max(
        ...[0, windowMs / 2, windowMs].map(agoMs =>
          countFrom(this.requestsMs, fromMs - agoMs, windowMs),
        ),
      );
      const retries = countFrom(this.retriesMs, fromMs, windowMs);
      worst = Math.max(worst, retries - ratio * requests - slack);
    }
    return worst;
  }

  private send(host: Host, failing: number): void {
    const nowMs = this.clock.monotonicMs();
    const {budget} = host;
    this.requestsMs.push(nowMs);
    budget?.addRequest(SERVICE);
    for (let retry = 0; retry < MAX_RETRIES; retry++) {
      if (this.random.next() >= failing || budget?.spend(SERVICE) !== true) {
        return;
      }
      this.retriesMs.push(nowMs);
    }
  }

  private createBudget(host: Host): SharedRetryBudget {
    return new SharedRetryBudget({
      clock: this.clock,
      metrics: new Metrics(),
      random: this.random,
      getLimit: () => ({...this.limit, hosts: this.countKnown(host)}),
    });
  }

  /**
   * Returns how many hosts a host knows, itself included; `undefined` if it has started where
   * it cannot read the list of hosts.
   */
  private countKnown(host: Host): number | undefined {
    const nowMs = this.clock.monotonicMs();
    if (nowMs < host.upMs + this.discoveryMs) {
      return 1;
    }
    const hasStartedInPartition = this.hasStartedInPartition(host);
    if (hasStartedInPartition && !this.canReadStore(host)) {
      return undefined;
    }
    const isForgotten =
      !hasStartedInPartition &&
      nowMs > this.partitionMs + EXPIRY_MS &&
      nowMs < this.healMs;
    const parity = this.hosts.indexOf(host) % 2;
    const known = this.hosts.filter(
      (other, index) =>
        (other === host || other.knownMs <= nowMs) &&
        (!isForgotten || index % 2 === parity),
    );
    return known.length;
  }

  private hasStartedInPartition({upMs}: Host): boolean {
    const nowMs = this.clock.monotonicMs();
    return upMs >= this.partitionMs && nowMs < this.healMs;
  }

  /** Returns whether a host reaches the store, which is on one side of a partition. */
  private canReadStore(host: Host): boolean {
    const nowMs = this.clock.monotonicMs();
    const isCut = nowMs >= this.partitionMs && nowMs < this.healMs;
    return !isCut || this.hosts.indexOf(host) % 2 === 0;
  }
}

function pick(hosts: readonly Host[], at: number): Host {
  let rest = at;
  for (const host of hosts) {
    rest -= host.weight;
    if (rest < 0) {
      return host;
    }
  }
  return hosts[hosts.length - 1] as Host;
}

/** Counts the times in a window; they are in ascending order. */
function countFrom(
  timesMs: readonly number[],
  fromMs: number,
  windowMs: number,
): number {
  return findFirst(timesMs, fromMs + windowMs) - findFirst(timesMs, fromMs);
}

/** Returns the index of the first time that is not before another. */
function findFirst(timesMs: readonly number[], atMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((timesMs[middle] ?? 0) < atMs) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
