import {Result} from 'true-myth';
import {chooseRelayLinks, HostAddress} from '../../src/peering/index.js';
import {PeerIdentity} from '../../src/peer/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {PeerHost} from './peer_host.js';

const HEARTBEAT_MS = 400;
/** Time after which a link without replies is closed, in milliseconds. */
const SILENCE_MS = 1200;
const UPDATE_MS = 500;

/** A link of one host to another, with the last reply. */
interface Link {
  acknowledged: unknown;
  /** When the next heartbeat is due. */
  dueMs: number;
  /** When the first unanswered heartbeat was sent, monotonic ms; `undefined` if none. */
  silentSinceMs: number | undefined;
}

/** Hosts that exchange heartbeats over simulated links, on a virtual clock. */
export class HostsFixture {
  readonly clock = new VirtualClock();
  readonly hosts: PeerHost[] = [];
  /** Names of the hosts whose process has terminated. */
  readonly down = new Set<string>();
  /** Names of the hosts that are paused. */
  readonly paused = new Set<string>();
  /** Returns whether bytes of one host reach another. */
  reaches: (from: HostAddress, to: HostAddress) => boolean = () => true;
  /** Number of heartbeats sent. */
  heartbeats = 0;
  private readonly links = new Map<string, Map<string, Link>>();
  private readonly random = new SeededRandom(7);
  private starts = 0;

  /**
   * @param count - Number of hosts, spread evenly over the data centres.
   * @param centres - Number of data centres.
   */
  constructor(
    private readonly count: number,
    private readonly centres: number,
  ) {
    for (let index = 0; index < count; index++) {
      this.start(index);
    }
  }

  /** Starts or restarts a host; it knows the addresses of all hosts from the table. */
  start(index: number): PeerHost {
    const self = this.getAddress(index);
    const host = new PeerHost(self, `start-${this.starts++}`, this.clock, {
      requestPeer: (to, body) => this.request(self, to, body),
      listConnected: () => this.listConnected(self.host),
    });
    this.hosts[index] = host;
    this.links.set(self.host, new Map());
    this.down.delete(self.host);
    for (let other = 0; other < this.count; other++) {
      host.known.addAddress(this.getAddress(other));
    }
    return host;
  }

  /** Terminates a host at once. */
  kill(host: PeerHost): void {
    this.down.add(host.self.host);
    this.links.set(host.self.host, new Map());
    for (const links of this.links.values()) {
      links.delete(host.self.host);
    }
  }

  /** Returns the aggregator of a data centre, by the ranking of its first live host. */
  getAggregator(dataCentre: string): PeerHost {
    const here = this.hosts.filter(
      ({self}) => self.dataCentre === dataCentre && this.isUp(self.host),
    );
    const first = here[0]?.known.rankAggregators(dataCentre)[0]?.host;
    const found = here.find(({self}) => self.host === first);
    if (found === undefined) {
      throw new Error(`no live aggregator in ${dataCentre}`);
    }
    return found;
  }

  /** Runs the hosts and their heartbeats for a time, in milliseconds. */
  async run(ms: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    while (this.clock.monotonicMs() < endMs) {
      await this.step();
      await this.clock.advance(100);
    }
  }

  private getAddress(index: number): HostAddress {
    const dataCentre = `dc-${index % this.centres}`;
    // A few hosts of each data centre are larger.
    const capacity = index < this.centres * 2 ? 1.35 : 0.324;
    return {
      host: `front-${index}`,
      dataCentre,
      address: `10.0.0.${index}:1`,
      capacity,
    };
  }

  private isUp(host: string): boolean {
    return !this.down.has(host) && !this.paused.has(host);
  }

  private get(host: string): PeerHost | undefined {
    return this.hosts.find(({self}) => self.host === host);
  }

  private listConnected(host: string): string[] {
    const out = [...(this.links.get(host)?.keys() ?? [])];
    const inward = [...this.links]
      .filter(([, links]) => links.has(host))
      .map(([other]) => other);
    return [...new Set([...out, ...inward])];
  }

  private async step(): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    for (const host of this.hosts) {
      if (!this.isUp(host.self.host)) {
        continue;
      }
      if (nowMs % UPDATE_MS === 0) {
        this.updateLinks(host);
      }
      for (const [to, link] of this.links.get(host.self.host) ?? []) {
        if (link.dueMs <= nowMs) {
          await this.beat(host, to, link);
        }
      }
    }
  }

  private updateLinks(host: PeerHost): void {
    const wanted = chooseRelayLinks(host.self, host.known);
    const links = this.links.get(host.self.host);
    const names = new Set(wanted.map(({host: name}) => name));
    for (const name of links?.keys() ?? []) {
      if (!names.has(name)) {
        links?.delete(name);
      }
    }
    for (const name of names) {
      if (links?.has(name) === false) {
        links.set(name, {
          acknowledged: undefined,
          dueMs:
            this.clock.monotonicMs() +
            100 * Math.floor((this.random.next() * HEARTBEAT_MS) / 100),
          silentSinceMs: undefined,
        });
      }
    }
  }

  private async beat(host: PeerHost, to: string, link: Link): Promise<void> {
    const nowMs = this.clock.monotonicMs();
    const peer = this.get(to);
    link.dueMs = nowMs + HEARTBEAT_MS;
    this.heartbeats++;
    if (peer === undefined || !this.canTalk(host.self, peer.self)) {
      this.noteSilence(host, to, link, peer);
      return;
    }
    link.silentSinceMs = undefined;
    const body = host.messages.createHeartbeat(
      identify(peer),
      link.acknowledged,
    );
    link.acknowledged = await peer.messages.handle(body, identify(host));
    host.messages.receiveReply(identify(peer), link.acknowledged, nowMs);
  }

  private noteSilence(
    host: PeerHost,
    to: string,
    link: Link,
    peer: PeerHost | undefined,
  ): void {
    const nowMs = this.clock.monotonicMs();
    link.silentSinceMs ??= nowMs;
    const isRefused = this.down.has(to);
    if (isRefused || nowMs - link.silentSinceMs >= SILENCE_MS) {
      this.links.get(host.self.host)?.delete(to);
      host.known.addUnreachable(peer?.self.address ?? '');
    }
  }

  private canTalk(from: HostAddress, to: HostAddress): boolean {
    return (
      this.isUp(to.host) && this.reaches(from, to) && this.reaches(to, from)
    );
  }

  private async request(
    from: HostAddress,
    to: string,
    body: unknown,
  ): Promise<unknown> {
    const peer = this.get(to);
    const sender = this.get(from.host);
    if (!peer || !sender || !this.canTalk(from, peer.self)) {
      return Result.err(new Error('host not reachable'));
    }
    return Result.ok(await peer.messages.handle(body, identify(sender)));
  }
}

function identify({self, incarnation}: PeerHost): PeerIdentity {
  return {host: self.host, dataCentre: self.dataCentre, incarnation};
}
