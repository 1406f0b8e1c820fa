import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {chooseRelayLinks, KnownHosts} from '../../src/peering/index.js';
import {VirtualClock} from '../../src/time/index.js';

const self = {
  host: 'front-0',
  dataCentre: 'tac',
  address: '10.0.0.0:1',
  capacity: 0.324,
};

function createHost(index: number, dataCentre: string, capacity: number) {
  const address = `10.0.0.${index}:1`;
  return {host: `front-${index}`, dataCentre, address, capacity};
}

describe('KnownHosts', () => {
  let clock: VirtualClock;
  let known: KnownHosts;

  beforeEach(() => {
    clock = new VirtualClock();
    known = new KnownHosts({
      clock,
      log: new SilentLog(),
      self,
      staleMs: 2000,
      expiryMs: 30_000,
    });
    for (let index = 1; index < 20; index++) {
      const dataCentre = index < 10 ? 'tac' : 'pdx';
      const capacity = index === 4 || index === 12 ? 1.35 : 0.324;
      known.addAddress(createHost(index, dataCentre, capacity));
    }
  });

  it('ranks the hosts with the largest capacity first as aggregators', () => {
    expect(known.rankAggregators('tac')[0]?.host).to.equal('front-4');
    expect(known.rankAggregators('pdx')[0]?.host).to.equal('front-12');
    expect(known.isAggregator()).to.equal(false);
  });

  it('skips an unreachable host, for longer each time', async () => {
    known.addUnreachable('10.0.0.4:1');
    expect(known.rankAggregators('tac')[0]?.host).to.not.equal('front-4');
    await clock.advance(2100);
    expect(known.rankAggregators('tac')[0]?.host).to.equal('front-4');
    known.addUnreachable('10.0.0.4:1');
    await clock.advance(2100);
    expect(known.rankAggregators('tac')[0]?.host).to.not.equal('front-4');
    known.addSelfReport(createHost(4, 'tac', 1.35));
    await clock.advance(250);
    expect(known.rankAggregators('tac')[0]?.host).to.equal('front-4');
  });

  it('links a host with two aggregators, and an aggregator with those of other data centres', () => {
    const links = chooseRelayLinks(self, known).map(({host}) => host);
    expect(links).to.have.length(2);
    expect(links).to.include('front-4');
    known.addUnreachable('10.0.0.4:1');
    for (let index = 1; index < 10; index++) {
      known.addUnreachable(`10.0.0.${index}:1`);
    }
    // No other host of its data centre is reachable: it is the aggregator itself.
    expect(known.isAggregator()).to.equal(true);
    expect(chooseRelayLinks(self, known).map(({host}) => host)).to.deep.equal([
      'front-12',
    ]);
  });

  it('counts a host that does not respond as serving, until it is dropped', async () => {
    known.addSelfReport(createHost(1, 'tac', 0.324));
    await clock.advance(2500);
    expect(known.isAlive('front-1')).to.equal(false);
    expect(known.countHosts()).to.equal(20);
    await clock.advance(30_000);
    expect(known.countHosts()).to.equal(1);
  });

  it('renews a list of hosts only with the version under which it was received', async () => {
    const members = [createHost(5, 'tac', 0.324)];
    known.addMembers('front-4', 'all', 3, members);
    await clock.advance(1500);
    known.addMembers('front-4', 'all', 4, undefined);
    await clock.advance(1000);
    // Version 4 is another list, which this host has not received.
    expect(known.isAlive('front-5')).to.equal(false);
    known.addMembers('front-4', 'all', 3, undefined);
    expect(known.isAlive('front-5')).to.equal(true);
  });

  it('prefers the address that a host reports itself', () => {
    known.addSelfReport({
      ...createHost(1, 'tac', 0.324),
      address: '10.0.9.9:1',
    });
    known.addAddress(createHost(1, 'tac', 0.324));
    const address = known
      .listAddresses()
      .find(({host}) => host === 'front-1')?.address;
    expect(address).to.equal('10.0.9.9:1');
  });
});
