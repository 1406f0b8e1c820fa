import {expect} from 'chai';
import {HostsFixture} from '../peering/hosts_fixture.js';
import {PeerHost} from '../peering/peer_host.js';
import {getAllowed, LimitedServer, WINDOW_MS} from './limited_server.js';

/** Time in which hosts discover each other, in milliseconds. */
const DISCOVERY_MS = 5000;
/** Time within which all hosts must know a limit, in milliseconds. */
const PROPAGATION_MS = 3000;
const SPAN_MS = 12_000;
/** Fraction of a limit that must be used if there are enough requests. */
const MIN_USED_SHARE = 0.8;
/** Time after the end of a limit until the server is at full load, in milliseconds. */
const RECOVERY_MS = 2000;

describe('a limit that hosts share', () => {
  async function start(
    hosts: number,
    centres: number,
    limit: number,
    seed = 1,
  ): Promise<LimitedServer> {
    const fixture = new HostsFixture(hosts, centres);
    await fixture.run(DISCOVERY_MS);
    const server = new LimitedServer(fixture, seed);
    server.limit = limit;
    return server;
  }

  /** Lists how the requests that reached a server since a time violate its limit. */
  function findFaults(server: LimitedServer, limit: number, fromMs: number) {
    const faults: string[] = [];
    const most = server.countMost(fromMs);
    if (most > getAllowed(limit)) {
      faults.push(`${most} arrivals in a window, ${getAllowed(limit)} allowed`);
    }
    const spanMs = server.getNowMs() - fromMs;
    const used = server.countBetween(fromMs, server.getNowMs());
    const least = (MIN_USED_SHARE * limit * spanMs) / 1000;
    if (used < Math.floor(least)) {
      faults.push(`${used} permits used, at least ${least} expected`);
    }
    return faults;
  }

  for (const [hosts, centres] of [
    [3, 1],
    [8, 4],
    [89, 3],
    [195, 6],
    [350, 25],
  ] as const) {
    for (const limit of [0.8, 2.6, 25]) {
      it(`of ${limit} per second is obeyed and used by ${hosts} hosts`, async () => {
        const server = await start(hosts, centres, limit);
        await server.run(PROPAGATION_MS);
        const fromMs = server.getNowMs();
        await server.run(SPAN_MS);
        expect(findFaults(server, limit, fromMs)).to.deep.equal([]);
      }).timeout(60_000);
    }
  }

  it('is exceeded, as the check detects, if each host uses the whole limit', async () => {
    const server = await start(8, 4, 2.6);
    for (const {known} of server.fixture.hosts) {
      Object.assign(known, {getHostPosition: () => ({hosts: 1, place: 0})});
    }
    await server.run(PROPAGATION_MS);
    const fromMs = server.getNowMs();
    await server.run(SPAN_MS);
    expect(findFaults(server, 2.6, fromMs)).not.to.deep.equal([]);
  });

  for (const hosts of [8, 89]) {
    it(`is obeyed when ${hosts} idle hosts all have requests at once`, async () => {
      const server = await start(hosts, 3, 2.6);
      await server.run(PROPAGATION_MS);
      server.requestsPerHost = 0;
      await server.run(SPAN_MS);
      const fromMs = server.getNowMs();
      server.requestsPerHost = 50;
      await server.run(WINDOW_MS);
      expect(server.countMost(fromMs)).to.be.at.most(getAllowed(2.6));
    }).timeout(60_000);
  }

  it('is obeyed when a data centre is partitioned from the others', async () => {
    const server = await start(8, 4, 2.6);
    await server.run(PROPAGATION_MS);
    const fromMs = server.getNowMs();
    const isCut = (dataCentre: string) => dataCentre === 'dc-2';
    server.fixture.reaches = (from, to) =>
      isCut(from.dataCentre) === isCut(to.dataCentre);
    await server.run(SPAN_MS);
    server.fixture.reaches = () => true;
    await server.run(SPAN_MS);
    expect(findFaults(server, 2.6, fromMs)).to.deep.equal([]);
  }).timeout(60_000);

  it('is obeyed when a host resumes after a pause in which the limit was stated', async () => {
    const server = await start(8, 4, 25);
    const [host] = server.fixture.hosts as [PeerHost];
    await server.run(PROPAGATION_MS);
    server.fixture.paused.add(host.self.host);
    server.limit = 2.6;
    await server.run(PROPAGATION_MS);
    const fromMs = server.getNowMs();
    server.fixture.paused.clear();
    await server.run(SPAN_MS);
    expect(server.countMost(fromMs)).to.be.at.most(getAllowed(2.6));
  });

  it('follows the stated limit at all hosts', async () => {
    const server = await start(8, 4, 20);
    for (const limit of [20, 4, 1.5, 12]) {
      server.limit = limit;
      await server.run(PROPAGATION_MS);
      const fromMs = server.getNowMs();
      await server.run(SPAN_MS);
      expect(findFaults(server, limit, fromMs)).to.deep.equal([]);
    }
  }).timeout(60_000);

  for (const limit of [0, 1e-9, 0.2]) {
    it(`of ${limit} per second still lets occasional requests through`, async () => {
      const server = await start(8, 4, limit);
      await server.run(PROPAGATION_MS);
      const fromMs = server.getNowMs();
      await server.run(SPAN_MS);
      expect(server.countMost(fromMs)).to.be.at.most(getAllowed(limit));
      expect(server.countBetween(fromMs, server.getNowMs())).to.be.above(3);
    });
  }

  for (const [hosts, centres] of [
    [8, 4],
    [89, 3],
    [350, 25],
  ] as const) {
    it(`ends at ${hosts} hosts in time, and not for all at once`, async () => {
      const server = await start(hosts, centres, 2.6);
      await server.run(2 * PROPAGATION_MS);
      server.limit = undefined;
      const endMs = server.getNowMs();
      await server.run(RECOVERY_MS);
      const wanted = hosts * server.requestsPerHost;
      const backMs = server.getNowMs();
      await server.run(1000);
      const after = server.countBetween(backMs, server.getNowMs());
      expect(after).to.be.at.least(MIN_USED_SHARE * wanted);
      const firstMs = server.arrivalsMs.find(ms => ms > endMs) ?? endMs;
      expect(server.countBetween(firstMs, firstMs + 250)).to.be.below(
        wanted / 8,
      );
    }).timeout(60_000);
  }

  it('does not disturb messages between hosts, whatever figure is stated', async () => {
    for (const limit of [1e31, Number.MAX_VALUE, 1e-300]) {
      const server = await start(3, 1, limit);
      await server.run(PROPAGATION_MS);
      for (const {known, limits, metrics} of server.fixture.hosts) {
        expect(known.countAlive()).to.equal(3);
        expect(limits.getLimit('i-1')).to.equal(limit);
        expect(metrics.format()).not.to.match(/peer_words_refused\S+ [1-9]/);
      }
    }
  });

  describe('while hosts join and leave', () => {
    for (const [hosts, centres] of [
      [8, 4],
      [89, 3],
    ] as const) {
      for (const seed of [1, 2, 3]) {
        it(`is obeyed by ${hosts} hosts of which most terminate and restart at once, seed ${seed}`, async () => {
          const server = await start(hosts, centres, 2.6, seed);
          await server.run(PROPAGATION_MS);
          const fromMs = server.getNowMs();
          for (let round = 0; round < 3; round++) {
            const {fixture} = server;
            const killed = fixture.hosts
              .map((host, index) => ({host, index}))
              .filter(({index}) => (index + round + seed) % 4 !== 0);
            for (const {host} of killed) {
              fixture.kill(host);
            }
            await server.run(500 * seed);
            for (const {index} of killed) {
              fixture.start(index);
            }
            await server.run(PROPAGATION_MS);
          }
          // Requests of hosts that have just started and don't know the limit yet aren't counted.
          const most = server.countMost(fromMs, server.awareMs);
          expect(most).to.be.at.most(getAllowed(2.6));
        }).timeout(60_000);
      }
    }

    for (const hosts of [8, 89]) {
      for (let seed = 1; seed <= 6; seed++) {
        it(`is obeyed by ${hosts} hosts that restart in turn, seed ${seed}`, async () => {
          const server = await start(hosts, 4, 2.6, seed);
          await server.run(PROPAGATION_MS);
          const fromMs = server.getNowMs();
          for (let turn = 0; turn < 8; turn++) {
            const index = (seed * 7 + turn * 3) % hosts;
            server.fixture.kill(server.fixture.hosts[index] as PeerHost);
            await server.run(300 * seed);
            server.fixture.start(index);
            await server.run(700);
          }
          expect(server.countMost(fromMs)).to.be.at.most(getAllowed(2.6));
        }).timeout(60_000);
      }
    }
  });
});
