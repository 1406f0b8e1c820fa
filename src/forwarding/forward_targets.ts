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
/** Age up to which the list of hosts that are alive is reused, in milliseconds. */
const LIST_MS = 200;

/**
 * Chooses the host that a request is forwarded to. A host that declined, or could not be
 * reached, is avoided for a time. Whether hosts reach the servers is not told in advance:
 * in a large fleet the word would take longer than the refusal of one request.
 */
export class ForwardTargets {
  private readonly inFlight = new Map<string, number>();
  /** Until when a host is avoided, for one service or for all; monotonic milliseconds. */
  private readonly avoided = new Map<string, number>();
  private alive: readonly HostAddress[] = [];
  private listedMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ForwardTargetsOptions) {}

  /**
   * Chooses a host for a request of a service: of a few that are drawn at random, the one
   * with the least work of this host for its capacity.
   */
  choose(service: string): ForwardTarget | undefined {
    const usable = this.listUsable(service);
    const {dataCentre} = this.options;
    const near = usable.filter(host => host.dataCentre === dataCentre);
    const far = usable.filter(host => host.dataCentre !== dataCentre);
    const drawn = [...this.draw(near), ...this.draw(far)];
    const costs = drawn.map(host => this.getCost(host));
    const best = drawn[costs.indexOf(Math.min(...costs))];
    return best?.forwardingAddress === undefined
      ? undefined
      : {host: best.host, address: best.forwardingAddress};
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
    const untilMs = this.options.clock.monotonicMs() + ms;
    this.avoided.set(createKey(host, service), untilMs);
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
    const untilMs = this.avoided.get(key);
    if (untilMs === undefined) {
      return false;
    }
    if (untilMs > this.options.clock.monotonicMs()) {
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

function createKey(host: string, service: string): string {
  return `${host}\n${service}`;
}
