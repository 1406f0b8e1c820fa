import {expect} from 'chai';
import {HostsFixture} from './hosts_fixture.js';
import {TABLE, PeerHost} from './peer_host.js';

/** Time in which all hosts learn of each other after the start, in milliseconds. */
const MEET_MS = 5000;
/** The same after the loss of an aggregator, in milliseconds. */
const RECOVER_MS = 5000;

describe('messages between many hosts', () => {
  /** Starts requests of a host at a server, after adding the server to all hosts. */
  function startWork(fixture: HostsFixture, host: PeerHost, count: number) {
    for (const other of fixture.hosts) {
      if (other.fleet.get('engine') === undefined) {
        other.addServer('engine');
      }
    }
    for (let request = 0; request < count; request++) {
      host.fleet.trackRequest('engine', [], 0);
    }
  }

  function listUp(fixture: HostsFixture): PeerHost[] {
    return fixture.hosts.filter(({self}) => !fixture.down.has(self.host));
  }

  /** Counts the hosts that do not know the total of running requests. */
  function countWrong(fixture: HostsFixture, total: number): number {
    const wrong = listUp(fixture).filter(host => {
      const own = host.fleet.listOwnLoads()[0]?.running ?? 0;
      return host.countRunning('engine') + own !== total;
    });
    return wrong.length;
  }

  for (const [count, centres] of [
    [8, 4],
    [89, 3],
    [195, 6],
    [350, 25],
  ] as const) {
    describe(`${count} hosts in ${centres} data centres`, () => {
      it('each host knows all hosts, and counts each request once', async () => {
        const fixture = new HostsFixture(count, centres);
        await fixture.run(MEET_MS);
        expect(
          fixture.hosts.filter(({known}) => !known.areAllAlive()),
        ).to.have.length(0);
        for (const host of fixture.hosts) {
          startWork(fixture, host, 2);
        }
        await fixture.run(2000);
        expect(countWrong(fixture, 2 * count)).to.equal(0);
      }).timeout(60_000);
    });
  }

  it('the number of heartbeats per host does not grow with the fleet', async () => {
    const perHost: number[] = [];
    for (const [count, centres] of [
      [48, 6],
      [195, 6],
    ] as const) {
      const fixture = new HostsFixture(count, centres);
      await fixture.run(MEET_MS);
      const before = fixture.heartbeats;
      await fixture.run(2000);
      perHost.push((fixture.heartbeats - before) / count / 2);
    }
    const [few = 0, many = 0] = perHost;
    expect(many).to.be.lessThan(few * 1.3);
    expect(many).to.be.lessThan(8);
  }).timeout(60_000);

  describe('a fleet of 60 hosts', () => {
    let fixture: HostsFixture;

    beforeEach(async () => {
      fixture = new HostsFixture(60, 3);
      await fixture.run(MEET_MS);
      for (const host of fixture.hosts) {
        startWork(fixture, host, 1);
      }
      await fixture.run(1500);
      expect(countWrong(fixture, 60)).to.equal(0);
    });

    it('has a correct total without the aggregator after it was killed', async () => {
      fixture.kill(fixture.getAggregator('dc-1'));
      await fixture.run(RECOVER_MS);
      expect(countWrong(fixture, 59)).to.equal(0);
      for (const {known} of listUp(fixture)) {
        expect(known.countAlive()).to.equal(59);
      }
    }).timeout(30_000);

    it('counts nothing twice when a paused aggregator resumes', async () => {
      const paused = fixture.getAggregator('dc-0');
      fixture.paused.add(paused.self.host);
      await fixture.run(4000);
      fixture.paused.clear();
      for (let step = 0; step < 20; step++) {
        await fixture.run(200);
        for (const host of listUp(fixture)) {
          expect(host.countRunning('engine')).to.be.at.most(59);
        }
      }
      await fixture.run(RECOVER_MS);
      expect(countWrong(fixture, 60)).to.equal(0);
    }).timeout(30_000);

    it('learns of all hosts again after most were killed at once', async () => {
      for (let index = 0; index < 40; index++) {
        const host = fixture.hosts[index];
        if (host !== undefined) {
          fixture.kill(host);
        }
      }
      await fixture.run(1000);
      for (let index = 0; index < 40; index++) {
        fixture.start(index);
      }
      await fixture.run(RECOVER_MS);
      expect(
        fixture.hosts.filter(({known}) => !known.areAllAlive()),
      ).to.have.length(0);
    }).timeout(30_000);

    it('works in two parts while a data centre is partitioned, and merges again', async () => {
      fixture.reaches = (from, to) =>
        (from.dataCentre === 'dc-2') === (to.dataCentre === 'dc-2');
      await fixture.run(RECOVER_MS);
      for (const {self, known} of fixture.hosts) {
        expect(known.countAlive()).to.equal(
          self.dataCentre === 'dc-2' ? 20 : 40,
        );
        // Partitioned hosts may still be admitting requests.
        expect(known.countHosts()).to.equal(60);
      }
      fixture.reaches = () => true;
      await fixture.run(RECOVER_MS + 3000);
      expect(countWrong(fixture, 60)).to.equal(0);
    }).timeout(30_000);

    it('counts a data centre once while two hosts act as its aggregator', async () => {
      const first = fixture.getAggregator('dc-1');
      const second = fixture.hosts.find(
        ({self}) => self.dataCentre === 'dc-1' && self !== first.self,
      );
      // A host that cannot reach the first aggregator may act as one itself.
      second?.known.addUnreachable(first.self.address);
      for (let step = 0; step < 15; step++) {
        await fixture.run(200);
        for (const host of fixture.hosts) {
          expect(host.countRunning('engine')).to.be.at.most(59);
        }
      }
    }).timeout(30_000);

    it('uses the standby while the link from the aggregator fails in one direction', async () => {
      const aggregator = fixture.getAggregator('dc-0');
      const deaf = fixture.hosts.find(
        ({self}) => self.dataCentre === 'dc-0' && self !== aggregator.self,
      );
      fixture.reaches = (from, to) =>
        from.host !== aggregator.self.host || to.host !== deaf?.self.host;
      await fixture.run(RECOVER_MS);
      // It gets the summary of the others from the standby aggregator.
      expect(deaf?.countRunning('engine')).to.be.within(57, 59);
    }).timeout(30_000);

    it('forwards a row to every host at once', async () => {
      const reader = fixture.getAggregator('dc-0');
      reader.replica.add({key: 'a', version: 7, text: '{}'}, 'store');
      await fixture.run(300);
      const lacking = fixture.hosts.filter(
        ({replica}) => replica.getText('a') === undefined,
      );
      expect(lacking).to.have.length(0);
    }).timeout(30_000);

    it('reports to every host how long ago the tables were read', async () => {
      for (let second = 0; second < 4; second++) {
        fixture.getAggregator('dc-0').readAge.addRead(TABLE);
        await fixture.run(1000);
      }
      for (const {readAge} of fixture.hosts) {
        expect(readAge.getMs(TABLE)).to.be.lessThan(2600);
      }
      await fixture.run(3000);
      for (const {readAge} of fixture.hosts) {
        expect(readAge.getMs(TABLE)).to.be.greaterThan(2800);
      }
    }).timeout(30_000);

    it('counts the units of a customer that each host admitted once', async () => {
      const account = {
        name: 'guild',
        keys: ['k'],
        rate: {
          perSecond: 100_000,
          burst: 100_000,
          inTokens: true,
          plainTokens: 200,
        },
      };
      for (const {quota} of fixture.hosts) {
        quota.take(account, 100);
      }
      await fixture.run(2000);
      for (const {quota} of fixture.hosts) {
        const sums = quota.sumSpending(() => true);
        expect(sums).to.deep.equal([{customer: 'guild', units: 6000}]);
      }
    }).timeout(30_000);
  });

  describe('invalid summaries', () => {
    let fixture: HostsFixture;
    const summary = {
      sequence: 1,
      hosts: 20,
      membersVersion: 1,
      loads: [],
      parts: [],
      prefill: [],
      demands: [],
      spending: [],
      holdsDuties: false,
    };
    const from = {host: 'front-1', dataCentre: 'dc-1', incarnation: 'x'};

    beforeEach(() => {
      fixture = new HostsFixture(60, 3);
    });

    function countRefused(host: PeerHost | undefined): number {
      const line = host?.metrics
        .format()
        .split('\n')
        .find(text => text.startsWith('sedgefall_peer_words_refused{'));
      return Number(line?.split(' ').at(-1) ?? 0);
    }

    const wrong: Record<string, object> = {
      'that cover no host': {hosts: 0},
      'with a fractional number of hosts': {hosts: 1.5},
      'with negative work': {demands: [['guild', -5]]},
      'with infinite work': {
        loads: [['e', Number.POSITIVE_INFINITY, []]],
      },
      'with a list longer than the limit': {
        prefill: Array.from({length: 20_001}, (_, index) => [`s${index}`, 1]),
      },
    };
    for (const [name, mistake] of Object.entries(wrong)) {
      it(`${name} are refused as a whole, and counted`, () => {
        const host = fixture.hosts[0];
        host?.messages.receiveReply(from, {all: {...summary, ...mistake}}, 0);
        expect(host?.reports.getAgeOfAllMs()).to.equal(Infinity);
        expect(countRefused(host)).to.equal(1);
      });
    }

    it('that are repeated or out of order are refused', () => {
      const host = fixture.hosts[0];
      const demands = [['guild', 50]];
      host?.messages.receiveReply(
        from,
        {all: {...summary, sequence: 2, demands}},
        0,
      );
      host?.messages.receiveReply(from, {all: {...summary, sequence: 1}}, 0);
      host?.messages.receiveReply(from, {all: {...summary, sequence: 2}}, 0);
      expect(host?.reports.sumDemand('guild')).to.equal(50);
      expect(countRefused(host)).to.equal(2);
    });
  });
});
