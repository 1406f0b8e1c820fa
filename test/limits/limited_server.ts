import {Maybe, Result} from 'true-myth';
import {Random, SeededRandom} from '../../src/random/index.js';
import {HostsFixture} from '../peering/hosts_fixture.js';
import {PeerHost} from '../peering/peer_host.js';

export const SERVER = 'i-1';
export const SERVICE = 'desk';
/** Length of the sliding window in which arrivals are counted, in milliseconds. */
export const WINDOW_MS = 4000;
const STEP_MS = 100;

/** Returns the maximum number of requests per window that a test accepts for a limit. */
export function getAllowed(perSecond: number): number {
  return 1.5 * perSecond * (WINDOW_MS / 1000) + 5;
}

/** A server that states a limit, with hosts that have more requests than it accepts. */
export class LimitedServer {
  /** Limit that its answers state now, in requests per second. */
  limit: number | undefined;
  /** Requests per second at each host. */
  requestsPerHost = 20;
  /** Arrival time of each request, in milliseconds. */
  readonly arrivalsMs: number[] = [];
  /** Arrival times of the requests from hosts that knew a limit, in milliseconds. */
  readonly awareMs: number[] = [];
  private readonly random: Random;

  constructor(
    readonly fixture: HostsFixture,
    seed = 1,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Lets hosts send requests and exchange messages for a time. */
  async run(ms: number): Promise<void> {
    const endMs = this.getNowMs() + ms;
    while (this.getNowMs() < endMs) {
      await this.fixture.run(STEP_MS);
      for (const host of this.fixture.hosts) {
        this.sendFrom(host);
      }
    }
  }

  /**
   * Returns the maximum number of arrivals in any window after a time.
   * @param fromMs - The time; earlier arrivals are ignored.
   * @param arrivalsMs - Arrival times to check; all by default.
   */
  countMost(fromMs: number, arrivalsMs = this.arrivalsMs): number {
    const arrivals = arrivalsMs.filter(ms => ms >= fromMs);
    let most = 0;
    let first = 0;
    for (const [last, ms] of arrivals.entries()) {
      while ((arrivals[first] ?? ms) <= ms - WINDOW_MS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Counts the arrivals from one time up to another. */
  countBetween(fromMs: number, toMs: number): number {
    return this.arrivalsMs.filter(ms => ms >= fromMs && ms < toMs).length;
  }

  getNowMs(): number {
    return this.fixture.clock.monotonicMs();
  }

  private sendFrom(host: PeerHost): void {
    const {host: name} = host.self;
    if (this.fixture.down.has(name) || this.fixture.paused.has(name)) {
      return;
    }
    const mean = (this.requestsPerHost * STEP_MS) / 1000;
    const wanted = Math.floor(mean + this.random.next());
    for (let sent = 0; sent < wanted; sent++) {
      this.send(host);
    }
  }

  private send({limits}: PeerHost): void {
    limits.addRequest(SERVICE, 0);
    if (limits.listExcluded(SERVICE, [SERVER], 0).length > 0) {
      return;
    }
    limits.takePermit(SERVER);
    const nowMs = this.getNowMs();
    this.arrivalsMs.push(nowMs);
    if (limits.getLimit(SERVER) !== undefined) {
      this.awareMs.push(nowMs);
    }
    limits.addAnswer(SERVER, Result.ok(Maybe.of(this.limit)), nowMs);
  }
}
