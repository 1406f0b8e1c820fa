import {HostAddress} from '../peering/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';

/** Another host to which requests can be forwarded. */
export interface ForwardTarget {
  readonly host: string;
  /** IP address and port at which it takes forwarded requests. */
  readonly address: string;
}

/** Dependencies of `ForwardTargets`. */
export interface ForwardTargetsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Data centre of this host. */
  readonly dataCentre: string;
  /** Lists the other hosts that are alive. */
  readonly listAlive: () => readonly HostAddress[];
}

/** Hosts drawn from each of: this data centre, the others. */
const DRAWN_HOSTS = 2;
/**
 * Factor by which a host of another data centre must have less work of this host to be
 * preferred, since traffic between data centres is expensive.
 */
const REMOTE_COST_FACTOR = 2;
const MIN_CAPACITY = 0.1;
/**
 * Time after which an avoided host that did not reach the servers is tried again if there is
 * no other, in milliseconds. One request per host and interval has its answer delayed then,
 * instead of being refused.
 */
const RETRY_INTERVAL_MS = 200;
/** Age up to which the list of hosts that are alive is reused, in milliseconds. */
const LIST_MS = 200;

/** A host that is avoided, for one service or for all; times in monotonic milliseconds. */
interface Avoidance {
  /** When it last declined, or was last chosen nevertheless. */
  readonly triedMs: number;
  readonly untilMs: number;
}

/**
 * Chooses the host that a request is forwarded to. A host that declined, or could not be
 * reached, is avoided for a time, and used earlier only if no other is left. Whether hosts
 * reach the servers is not told in advance: in a large fleet the word would take longer than
 * the refusal of one request.
 */
export class ForwardTargets {
  private readonly inFlight = new Map<string, number>();
  private readonly avoided = new Map<string, Avoidance>();
  private alive: readonly HostAddress[] = [];
  private listedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ForwardTargetsOptions) {}

  /**
   * Chooses a host for a request of a service: of a few that are drawn at random, the one
   * with the least work of this host for its capacity.
   */
  choose(service: string): ForwardTarget | undefined {
    const usable = this.listUsable(service);
    if (usable.length === 0) {
      return this.chooseAvoided(service);
    }
    const {dataCentre} = this.options;
    const near = usable.filter(host => host.dataCentre === dataCentre);
    const far = usable.filter(host => host.dataCentre !== dataCentre);
    const drawn = [...this.draw(near), ...this.draw(far)];
    const costs = drawn.map(host => this.getCost(host));
    const best = drawn[costs.indexOf(Math.min(...costs))];
    return toTarget(best);
  }

  /** Records that a host has taken a request, so that it is not avoided for the service. */
  readmit({host}: ForwardTarget, service: string): void {
    this.avoided.delete(createKey(host, service));
  }

  /** Returns whether any host has not declined lately, for any service. */
  hasAny(): boolean {
    const declined = new Set(
      [...this.avoided.keys()]
        .filter(key => this.isAvoided(key))
        .map(key => key.slice(0, key.indexOf('\n'))),
    );
    return this.listAlive().some(
      ({host, forwardingAddress}) =>
        forwardingAddress !== undefined && !declined.has(host),
    );
  }

  /** Counts a request as forwarded to a host; returns the function that ends it. */
  begin({host}: ForwardTarget): () => void {
    this.inFlight.set(host, (this.inFlight.get(host) ?? 0) + 1);
    let isOpen = true;
    return () => {
      if (isOpen) {
        isOpen = false;
        this.inFlight.set(host, (this.inFlight.get(host) ?? 1) - 1);
      }
    };
  }

  /**
   * Avoids a host for a time.
   * @param target - The host.
   * @param ms - The time, in milliseconds.
   * @param service - Service for which it is avoided; by default for all.
   */
  avoid({host}: ForwardTarget, ms: number, service = ''): void {
    const triedMs = this.options.clock.monotonicMs();
    const untilMs = triedMs + ms;
    this.avoided.set(createKey(host, service), {triedMs, untilMs});
  }

  /**
   * Chooses the host that is avoided for the service alone and was not tried for the longest
   * time; `undefined` if all were tried recently.
   */
  private chooseAvoided(service: string): ForwardTarget | undefined {
    const nowMs = this.options.clock.monotonicMs();
    let oldestMs = nowMs - RETRY_INTERVAL_MS;
    let oldest: HostAddress | undefined;
    for (const host of this.listAlive()) {
      const avoidance = this.avoided.get(createKey(host.host, service));
      if (
        avoidance !== undefined &&
        avoidance.triedMs <= oldestMs &&
        host.forwardingAddress !== undefined &&
        !this.isAvoided(createKey(host.host, ''))
      ) {
        oldestMs = avoidance.triedMs;
        oldest = host;
      }
    }
    const target = toTarget(oldest);
    if (target !== undefined) {
      const key = createKey(target.host, service);
      const untilMs = this.avoided.get(key)?.untilMs ?? nowMs;
      this.avoided.set(key, {triedMs: nowMs, untilMs});
    }
    return target;
  }

  private listUsable(service: string): HostAddress[] {
    return this.listAlive().filter(
      ({host, forwardingAddress}) =>
        forwardingAddress !== undefined &&
        !this.isAvoided(createKey(host, '')) &&
        !this.isAvoided(createKey(host, service)),
    );
  }

  private listAlive(): readonly HostAddress[] {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.listedMs > LIST_MS) {
      this.alive = this.options.listAlive();
      this.listedMs = nowMs;
    }
    return this.alive;
  }

  private isAvoided(key: string): boolean {
    const avoidance = this.avoided.get(key);
    if (avoidance === undefined) {
      return false;
    }
    if (avoidance.untilMs > this.options.clock.monotonicMs()) {
      return true;
    }
    this.avoided.delete(key);
    return false;
  }

  private draw(hosts: readonly HostAddress[]): HostAddress[] {
    const {random} = this.options;
    const drawn: HostAddress[] = [];
    for (let count = 0; count < DRAWN_HOSTS && hosts.length > 0; count++) {
      const host = hosts[Math.floor(random.next() * hosts.length)];
      if (host !== undefined) {
        drawn.push(host);
      }
    }
    return drawn;
  }

  private getCost({host, dataCentre, capacity = 1}: HostAddress): number {
    const work = (this.inFlight.get(host) ?? 0) + 1;
    const factor =
      dataCentre === this.options.dataCentre ? 1 : REMOTE_COST_FACTOR;
    return (factor * work) / Math.max(MIN_CAPACITY, capacity);
  }
}

function toTarget(host: HostAddress | undefined): ForwardTarget | undefined {
  return host?.forwardingAddress === undefined
    ? undefined
    : {host: host.host, address: host.forwardingAddress};
}

function createKey(host: string, service: string): string {
  return `${host}\n${service}`;
}
