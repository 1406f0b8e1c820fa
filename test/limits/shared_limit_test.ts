import {expect} from 'chai';
import {HostsFixture} from '../peering/hosts_fixture.js';
import {WordsHost} from '../peering/words_fixture.js';
import {getAllowed, LimitedServer, WINDOW_MS} from './limited_server.js';

/** Time in which hosts come to know each other, in milliseconds. */
const MEET_MS = 5000;
/** Time in which all hosts have to know a limit, in milliseconds. */
const CONTACT_MS = 3000;
const SPAN_MS = 12_000;
/** Part of a limit that has to be used where there are enough requests. */
const USED_SHARE = 0.8;
/** Time in which a server has its full share again, in milliseconds. */
const BACK_MS = 2000;

describe('a limit that hosts share', () => {
  async function start(
    hosts: number,
    centres: number,
    limit: number,
    seed = 1,
  ): Promise<LimitedServer> {
    const fixture = new HostsFixture(hosts, centres);
    await fixture.run(MEET_MS);
    const server = new LimitedServer(fixture, seed);
    server.limit = limit;
    return server;
  }

  /** Tells what is wrong with what a server got from a moment on. */
  function findFaults(server: LimitedServer, limit: number, fromMs: number) {
    const faults: string[] = [];
    const most = server.countMost(fromMs);
    if (most > getAllowed(limit)) {
      faults.push(`${most} in a span, ${getAllowed(limit)} allowed`);
    }
    const spanMs = server.getNowMs() - fromMs;
    const used = server.countBetween(fromMs, server.getNowMs());
    const least = (USED_SHARE * limit * spanMs) / 1000;
    if (used < Math.floor(least)) {
      faults.push(`${used} used, ${least} at least`);
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
      it(`of ${limit} a second is kept and used by ${hosts} hosts`, async () => {
        const server = await start(hosts, centres, limit);
        await server.run(CONTACT_MS);
        const fromMs = server.getNowMs();
        await server.run(SPAN_MS);
        expect(findFaults(server, limit, fromMs)).to.deep.equal([]);
      }).timeout(60_000);
    }
  }

  it('is passed where each host takes the whole of it, as the check sees', async () => {
    const server = await start(8, 4, 2.6);
    for (const {known} of server.fixture.hosts) {
      Object.assign(known, {getTurn: () => ({hosts: 1, place: 0})});
    }
    await server.run(CONTACT_MS);
    const fromMs = server.getNowMs();
    await server.run(SPAN_MS);
    expect(findFaults(server, 2.6, fromMs)).not.to.deep.equal([]);
  });

  for (const hosts of [8, 89]) {
    it(`is kept when ${hosts} idle hosts all have requests at once`, async () => {
      const server = await start(hosts, 3, 2.6);
      await server.run(CONTACT_MS);
      server.perHost = 0;
      await server.run(SPAN_MS);
      const fromMs = server.getNowMs();
      server.perHost = 50;
      await server.run(WINDOW_MS);
      expect(server.countMost(fromMs)).to.be.at.most(getAllowed(2.6));
    }).timeout(60_000);
  }

  it('is kept, as before, by a data centre that is cut off and the others', async () => {
    const server = await start(8, 4, 2.6);
    await server.run(CONTACT_MS);
    const fromMs = server.getNowMs();
    const isCut = (dataCentre: string) => dataCentre === 'dc-2';
    server.fixture.reaches = (from, to) =>
      isCut(from.dataCentre) === isCut(to.dataCentre);
    await server.run(SPAN_MS);
    server.fixture.reaches = () => true;
    await server.run(SPAN_MS);
    expect(findFaults(server, 2.6, fromMs)).to.deep.equal([]);
  }).timeout(60_000);

  it('is kept when a host wakes from a pause in which the limit was named', async () => {
    const server = await start(8, 4, 25);
    const [host] = server.fixture.hosts as [WordsHost];
    await server.run(CONTACT_MS);
    server.fixture.paused.add(host.self.host);
    server.limit = 2.6;
    await server.run(CONTACT_MS);
    const fromMs = server.getNowMs();
    server.fixture.paused.clear();
    await server.run(SPAN_MS);
    expect(server.countMost(fromMs)).to.be.at.most(getAllowed(2.6));
  });

  it('changes at all hosts with what the server names', async () => {
    const server = await start(8, 4, 20);
    for (const limit of [20, 4, 1.5, 12]) {
      server.limit = limit;
      await server.run(CONTACT_MS);
      const fromMs = server.getNowMs();
      await server.run(SPAN_MS);
      expect(findFaults(server, limit, fromMs)).to.deep.equal([]);
    }
  }).timeout(60_000);

  for (const limit of [0, 1e-9, 0.2]) {
    it(`of ${limit} a second leaves the server a request now and then`, async () => {
      const server = await start(8, 4, limit);
      await server.run(CONTACT_MS);
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
    it(`ends at ${hosts} hosts in time, and not for all at one moment`, async () => {
      const server = await start(hosts, centres, 2.6);
      await server.run(2 * CONTACT_MS);
      server.limit = undefined;
      const endMs = server.getNowMs();
      await server.run(BACK_MS);
      const wanted = hosts * server.perHost;
      const backMs = server.getNowMs();
      await server.run(1000);
      const after = server.countBetween(backMs, server.getNowMs());
      expect(after).to.be.at.least(USED_SHARE * wanted);
      const firstMs = server.arrivalsMs.find(ms => ms > endMs) ?? endMs;
      expect(server.countBetween(firstMs, firstMs + 250)).to.be.below(
        wanted / 8,
      );
    }).timeout(60_000);
  }

  it('does not keep hosts from hearing each other, whatever figure is named', async () => {
    for (const limit of [1e31, Number.MAX_VALUE, 1e-300]) {
      const server = await start(3, 1, limit);
      await server.run(CONTACT_MS);
      for (const {known, limits, metrics} of server.fixture.hosts) {
        expect(known.countAlive()).to.equal(3);
        expect(limits.getLimit('i-1')).to.equal(limit);
        expect(metrics.format()).not.to.match(/peer_words_refused\S+ [1-9]/);
      }
    }
  });

  describe('while hosts come and go', () => {
    for (const [hosts, centres] of [
      [8, 4],
      [89, 3],
    ] as const) {
      for (const seed of [1, 2, 3]) {
        it(`is kept by ${hosts} hosts of which most end and start at once, seed ${seed}`, async () => {
          const server = await start(hosts, centres, 2.6, seed);
          await server.run(CONTACT_MS);
          const fromMs = server.getNowMs();
          for (let round = 0; round < 3; round++) {
            const {fixture} = server;
            const struck = fixture.hosts
              .map((host, index) => ({host, index}))
              .filter(({index}) => (index + round + seed) % 4 !== 0);
            for (const {host} of struck) {
              fixture.kill(host);
            }
            await server.run(500 * seed);
            for (const {index} of struck) {
              fixture.start(index);
            }
            await server.run(CONTACT_MS);
          }
          // Hosts that have just started send before they hear of the limit.
          const most = server.countMost(fromMs, server.awareMs);
          expect(most).to.be.at.most(getAllowed(2.6));
        }).timeout(60_000);
      }
    }

    for (const hosts of [8, 89]) {
      for (let seed = 1; seed <= 6; seed++) {
        it(`is kept by ${hosts} hosts that restart in turn, seed ${seed}`, async () => {
          const server = await start(hosts, 4, 2.6, seed);
          await server.run(CONTACT_MS);
          const fromMs = server.getNowMs();
          for (let turn = 0; turn < 8; turn++) {
            const index = (seed * 7 + turn * 3) % hosts;
            server.fixture.kill(server.fixture.hosts[index] as WordsHost);
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
