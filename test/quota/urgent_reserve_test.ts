import {expect} from 'chai';
import {Account} from '../../src/catalog/index.js';
import {Quota} from '../../src/quota/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const RATE = 200_000;
const CHAT = {rank: 0, units: 12_000};
const TAGS = {rank: 2, units: 2400};
const account: Account = {
  name: 'guild',
  keys: ['k'],
  rate: {perSecond: RATE, burst: RATE, inTokens: true, plainTokens: 200},
};

/** A host on its own, whose customer sends two kinds at parts of its rate. */
class Host {
  readonly clock = new VirtualClock();
  readonly admitted = new Map<number, number>();
  readonly asked = new Map<number, number>();
  readonly quota: Quota;
  peerDemand = 0;
  private readonly random = new SeededRandom(2);

  constructor(reserves: boolean, hosts = 1, getReachable = () => hosts) {
    this.quota = new Quota({
      clock: this.clock,
      sumPeerDemand: () => this.peerDemand,
      countReportingHosts: () => hosts - 1,
      countHosts: () => hosts,
      countReachableHosts: getReachable,
      getBound: () => ({windowMs: 8000, overage: 0.1, slack: 140_000}),
      reservesForUrgent: () => reserves,
    });
  }

  async run(ms: number, chatLoad: number, tagLoad: number): Promise<void> {
    this.admitted.clear();
    this.asked.clear();
    for (let atMs = 0; atMs < ms; atMs += 5) {
      this.send(CHAT, chatLoad);
      this.send(TAGS, tagLoad);
      await this.clock.advance(5);
    }
  }

  getAdmittedPart({rank}: {rank: number}): number {
    return (this.admitted.get(rank) ?? 0) / (this.asked.get(rank) ?? 1);
  }

  private send({rank, units}: typeof CHAT, load: number): void {
    if (this.random.next() >= (load * RATE * 0.005) / units) {
      return;
    }
    this.asked.set(rank, (this.asked.get(rank) ?? 0) + 1);
    if (this.quota.take(account, units, rank) === 0) {
      this.admitted.set(rank, (this.admitted.get(rank) ?? 0) + 1);
    }
  }
}

describe('UrgentReserve', () => {
  // The load of a customer that sends tags above its rate, together with its chats.
  describe('a customer with chats at 0.6 of its rate and tags at 1.3 of it', () => {
    for (const [name, getReachable] of [
      ['with all hosts reachable', () => 4],
      ['cut off from most hosts', () => 1],
    ] as const) {
      it(`has its chats admitted, and some tags, ${name}`, async () => {
        const isCutOff = getReachable() === 1;
        const load = isCutOff ? 0.7 : 1;
        const host = new Host(true, 4, getReachable);
        await host.run(10_000, 0.6 * load, 1.3);
        await host.run(20_000, 0.6 * load, 1.3);
        expect(host.getAdmittedPart(CHAT)).to.be.at.least(0.95);
        expect(host.getAdmittedPart(TAGS)).to.be.at.least(0.08);
      });
    }

    it('needs the reserve', async () => {
      const host = new Host(false);
      await host.run(10_000, 0.6, 1.3);
      await host.run(20_000, 0.6, 1.3);
      expect(host.getAdmittedPart(CHAT)).to.be.lessThan(0.6);
    });
  });

  it('does not starve tags while chats alone exceed the rate', async () => {
    const host = new Host(true);
    await host.run(10_000, 1.5, 0.3);
    await host.run(20_000, 1.5, 0.3);
    expect(host.getAdmittedPart(TAGS)).to.be.at.least(0.05);
  });

  it('does not hold back tags once the chats have ended', async () => {
    const host = new Host(true);
    await host.run(10_000, 0.9, 0.5);
    await host.run(4000, 0, 0.5);
    await host.run(10_000, 0, 0.9);
    expect(host.getAdmittedPart(TAGS)).to.be.at.least(0.99);
  });

  // Guards against a chat that waits for the small share of one of many hosts.
  it('lets a chat larger than the share wait only for the rate', async () => {
    const waits: number[] = [];
    for (const reserves of [false, true]) {
      const host = new Host(reserves, 61);
      host.peerDemand = RATE / 2;
      host.quota.take(account, 1);
      await host.clock.advance(1500);
      let waitMs = 0;
      while (waitMs === 0) {
        waitMs = host.quota.take(account, 12_000);
      }
      waits.push(waitMs);
    }
    const [before = 0, after = 0] = waits;
    expect(before).to.be.greaterThan(3000);
    expect(after).to.be.lessThan(before / 2);
  });
});
