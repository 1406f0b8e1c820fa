import {expect} from 'chai';
import {
  createIncarnationId,
  Fleet,
  FleetServer,
  FleetState,
  LeavingServers,
} from '../../src/fleet/index.js';
import {SilentLog} from '../../src/log/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {HostsFixture} from '../peering/hosts_fixture.js';

const SERVICE = 'desk';
const FIRST_START_MS = 1000;

function createServer(
  name: string,
  state: FleetState,
  startedMs = FIRST_START_MS,
): FleetServer {
  return {
    id: createIncarnationId(name, startedMs),
    name,
    startedMs,
    service: SERVICE,
    address: `${name}:1`,
    dataCentre: 'here',
    slots: 8,
    state,
    reclaimable: false,
  };
}

describe('Fleet, with a server that states in an answer that it leaves', () => {
  const {id} = createServer('a', FleetState.READY);
  let clock: VirtualClock;
  let fleet: Fleet;

  beforeEach(() => {
    clock = new VirtualClock();
    fleet = new Fleet({
      clock,
      log: new SilentLog(),
      random: new SeededRandom(1),
      dataCentre: 'here',
      listPeerLoads: () => [],
    });
    for (const name of ['a', 'b']) {
      fleet.register(createServer(name, FleetState.READY), 'store');
    }
  });

  function listChosen(): string[] {
    return fleet
      .listKnowledge(SERVICE, {parts: []})
      .map(({server}) => server.split('@')[0] ?? '');
  }

  it('gives it no new work, and reports the change', () => {
    const changed: FleetServer[] = [];
    fleet.addListener(server => changed.push(server));
    fleet.leaving.addAnswer(id);
    expect(listChosen()).to.deep.equal(['b']);
    expect(fleet.isReady(id)).to.equal(false);
    expect(fleet.isLeaving(id)).to.equal(true);
    expect(fleet.countReady(SERVICE).get('')).to.equal(1);
    expect(changed.map(({state}) => state)).to.deep.equal([
      FleetState.DRAINING,
    ]);
  });

  it('does not take an older or newer row of the same start as its return', () => {
    fleet.leaving.addAnswer(id);
    for (const source of ['store', 'peer:front-2']) {
      fleet.register(createServer('a', FleetState.READY), source);
      expect(listChosen()).to.deep.equal(['b']);
    }
  });

  it('does not take the return of its lapsed row as its return', async () => {
    fleet.leaving.addAnswer(id);
    fleet.unregister('a', 'store');
    await clock.advance(120_000);
    // Removes expired servers as well.
    fleet.unregister('none', 'store');
    expect(fleet.get(id)).to.equal(undefined);
    fleet.register(createServer('a', FleetState.READY), 'store');
    expect(listChosen()).to.deep.equal(['b']);
  });

  it('gives work to its next incarnation', () => {
    fleet.leaving.addAnswer(id);
    fleet.register(createServer('a', FleetState.READY, 2000), 'store');
    expect(listChosen()).to.have.members(['a', 'b']);
  });

  it('knows it also if its row is read later', () => {
    const other = createServer('c', FleetState.READY);
    fleet.leaving.addAnswer(other.id);
    fleet.register(other, 'store');
    expect(listChosen()).to.have.members(['a', 'b']);
  });

  it('accepts copied runs for a short time only, whatever its row does meanwhile', async () => {
    fleet.leaving.addAnswer(id);
    expect(fleet.acceptsCopiedRun(id)).to.equal(true);
    await clock.advance(600);
    expect(fleet.acceptsCopiedRun(id)).to.equal(false);
    fleet.unregister('a', 'store');
    fleet.register(createServer('a', FleetState.READY), 'store');
    expect(fleet.acceptsCopiedRun(id)).to.equal(false);
    fleet.register(createServer('a', FleetState.DRAINING), 'store');
    expect(fleet.acceptsCopiedRun(id)).to.equal(false);
  });
});

describe('Fleet, with a draining server whose row lapses', () => {
  // Guards against a draining server that accepts copied runs anew each time its row lapses
  // and returns.
  it('does not accept copied runs anew when the row returns', async () => {
    const clock = new VirtualClock();
    const fleet = new Fleet({
      clock,
      log: new SilentLog(),
      random: new SeededRandom(1),
      dataCentre: 'here',
      listPeerLoads: () => [],
    });
    const draining = createServer('a', FleetState.DRAINING);
    fleet.register(createServer('a', FleetState.READY), 'store');
    fleet.register(draining, 'store');
    await clock.advance(3000);
    fleet.unregister('a', 'store');
    fleet.register(draining, 'store');
    expect(fleet.acceptsCopiedRun(draining.id)).to.equal(false);
  });
});

describe('LeavingServers', () => {
  function create(
    clock: VirtualClock,
    isKnownServer: (server: string) => boolean = () => true,
  ): LeavingServers {
    return new LeavingServers({clock, log: new SilentLog(), isKnownServer});
  }

  it('lists what changed since a version, a bounded number at a time', () => {
    const leaving = create(new VirtualClock());
    for (let index = 0; index < 450; index++) {
      leaving.addAnswer(`i-${index}`);
    }
    const copy = create(new VirtualClock());
    let version = 0;
    for (let page = 0; page < 3; page++) {
      const listed = leaving.listSince(version);
      expect(listed.servers.length).to.be.at.most(200);
      copy.mergeReported(listed.servers, 'front-1');
      version = listed.version;
    }
    expect(version).to.equal(leaving.getVersion());
    expect(copy.listSince(0).servers).to.deep.equal(
      leaving.listSince(0).servers,
    );
    expect(copy.has('i-449')).to.equal(true);
  });

  it('keeps a server that is no longer known for ten minutes', async () => {
    const clock = new VirtualClock();
    const leaving = create(clock, () => false);
    leaving.addAnswer('i-1');
    await clock.advance(590_000);
    leaving.addAnswer('i-2');
    expect(leaving.has('i-1')).to.equal(true);
    await clock.advance(20_000);
    leaving.addAnswer('i-3');
    expect(leaving.has('i-1')).to.equal(false);
    expect(leaving.has('i-2')).to.equal(true);
  });

  it('keeps a bounded number of servers', () => {
    const leaving = create(new VirtualClock());
    for (let index = 0; index < 5000; index++) {
      leaving.addAnswer(`i-${index}`);
    }
    expect(leaving.has('i-0')).to.equal(false);
    expect(leaving.has('i-4999')).to.equal(true);
  });

  for (const [hosts, centres] of [
    [8, 4],
    [89, 3],
    [350, 25],
  ] as const) {
    it(`are known to ${hosts} hosts after one had the answer`, async () => {
      const fixture = new HostsFixture(hosts, centres);
      await fixture.run(5000);
      fixture.hosts.at(-1)?.fleet.leaving.addAnswer('i-1');
      await fixture.run(2000);
      const unaware = fixture.hosts.filter(
        ({fleet}) => !fleet.leaving.has('i-1'),
      );
      expect(unaware.map(({self}) => self.host)).to.deep.equal([]);
    }).timeout(60_000);
  }
});
