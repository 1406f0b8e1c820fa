import {expect} from 'chai';
import {
  createIncarnationId,
  Fleet,
  FleetState,
  RequestOutcome,
  HostLoad,
  PartUpdates,
  PromptPart,
} from '../../src/fleet/index.js';
import {SilentLog} from '../../src/log/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {ServerKnowledge} from '../../src/routing/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE = 'desk';
const shared: PromptPart = {id: 'shared', tokens: 5000};
const own: PromptPart = {id: 'own', tokens: 700};

function createFleet(
  clock: VirtualClock,
  listPeerLoads: () => readonly HostLoad[],
): Fleet {
  return new Fleet({
    clock,
    log: new SilentLog(),
    random: new SeededRandom(1),
    dataCentre: 'here',
    listPeerLoads: server =>
      listPeerLoads().filter(load => load.server === server),
  });
}

describe('Fleet', () => {
  let clock: VirtualClock;
  let peerLoads: HostLoad[];
  let fleet: Fleet;

  beforeEach(() => {
    clock = new VirtualClock();
    peerLoads = [];
    fleet = createFleet(clock, () => peerLoads);
    for (const id of ['a', 'b']) {
      fleet.register(
        {
          id,
          name: id,
          startedMs: 0,
          service: SERVICE,
          address: `${id}:1`,
          dataCentre: 'here',
          slots: 8,
          state: FleetState.READY,
          reclaimable: false,
        },
        'test',
      );
    }
  });

  function getKnowledge(id: string): ServerKnowledge | undefined {
    return fleet
      .listKnowledge(SERVICE, {parts: [shared, own]})
      .find(known => known.server === id);
  }

  it('counts a part that a peer reports as sent to a server as cached there', () => {
    for (const server of ['a', 'b']) {
      fleet.addPeerParts([{server, part: shared}]);
    }
    expect(getKnowledge('a')?.cachedTokens).to.equal(5000);
    expect(getKnowledge('b')?.cachedTokens).to.equal(5000);
  });

  it('lists the shared parts that it sends, without the part specific to the request', () => {
    fleet.trackRequest('a', [shared, own], 0);
    expect(fleet.listSentParts()).to.deep.equal([{server: 'a', part: shared}]);
  });

  it('counts pending tokens of the same rank and of more urgent ones as ahead of a request', () => {
    fleet.trackRequest('a', [{id: 'x', tokens: 9000}], 0, 2);
    fleet.trackRequest('a', [{id: 'y', tokens: 4000}], 0, 1);
    peerLoads = [
      {
        server: 'a',
        running: 2,
        prefill: [
          {urgency: 1, tokens: 1000},
          {urgency: 3, tokens: 7000},
        ],
        ageMs: 0,
      },
    ];
    const countAhead = (urgency: number) =>
      fleet
        .listKnowledge(SERVICE, {parts: [], urgency})
        .find(({server}) => server === 'a')?.pendingPrefillTokens;
    expect([0, 1, 2, 3].map(countAhead)).to.deep.equal([
      0, 5000, 14_000, 21_000,
    ]);
  });

  it('subtracts the tokens that a server has computed since the report of a peer', () => {
    peerLoads = [
      {
        server: 'a',
        running: 1,
        prefill: [{urgency: 0, tokens: 20_000}],
        ageMs: 0,
      },
    ];
    expect(getKnowledge('a')?.pendingPrefillTokens).to.equal(20_000);
    peerLoads = [
      {
        server: 'a',
        running: 1,
        prefill: [{urgency: 0, tokens: 20_000}],
        ageMs: 150,
      },
    ];
    expect(getKnowledge('a')?.pendingPrefillTokens).to.equal(5000);
    peerLoads = [
      {
        server: 'a',
        running: 1,
        prefill: [{urgency: 0, tokens: 20_000}],
        ageMs: 900,
      },
    ];
    expect(getKnowledge('a')?.pendingPrefillTokens).to.equal(0);
  });
});

describe('Fleet, when a server restarts under the same name', () => {
  let clock: VirtualClock;
  let fleet: Fleet;
  let states: string[];
  let peerLoads: HostLoad[];

  beforeEach(() => {
    clock = new VirtualClock();
    states = [];
    peerLoads = [];
    fleet = createFleet(clock, () => peerLoads);
    fleet.addListener(({id, state}) => states.push(`${id} ${state}`));
  });

  function register(startedMs: number, state: FleetState = FleetState.READY) {
    fleet.register(
      {
        id: createIncarnationId('a', startedMs),
        name: 'a',
        startedMs,
        service: SERVICE,
        address: 'a:1',
        dataCentre: 'here',
        slots: 8,
        state,
        reclaimable: false,
      },
      'test',
    );
  }

  it('terminates the previous incarnation and carries nothing over from it', async () => {
    register(1000);
    const flight = fleet.trackRequest('a@1000', [shared, own], 0);
    flight.addFirstByte(9000);
    for (let failures = 0; failures < 3; failures++) {
      fleet.trackRequest('a@1000', [], 0).finish(RequestOutcome.FAILED);
    }
    fleet.addPeerParts([{server: 'a@1000', part: shared}]);
    peerLoads = [
      {
        server: 'a@1000',
        running: 5,
        prefill: [{urgency: 0, tokens: 9}],
        ageMs: 0,
      },
    ];
    register(2000);
    expect(states).to.deep.equal([
      'a@1000 ready',
      'a@1000 ended',
      'a@2000 ready',
    ]);
    const known = fleet.listKnowledge(SERVICE, {parts: [shared, own]});
    expect(known).to.have.length(1);
    expect(known[0]).to.include({
      server: 'a@2000',
      inFlight: 0,
      pendingPrefillTokens: 0,
      excessMs: 0,
      ejected: false,
    });
    expect(known[0]?.load?.running).to.equal(0);
    // Only what the preferred server of the prompt is assumed to have cached.
    expect(known[0]?.cachedTokens).to.equal(shared.tokens / 2);
  });

  it('ignores a delayed entry of an earlier incarnation', () => {
    register(2000);
    register(1000, FleetState.DRAINING);
    register(1000);
    expect(states).to.deep.equal(['a@2000 ready']);
  });

  it('unregisters the server when an entry has no start time', () => {
    register(2000);
    register(0);
    expect(states).to.deep.equal(['a@2000 ready', 'a@2000 gone']);
    expect(fleet.listKnowledge(SERVICE, {parts: []})).to.have.length(0);
  });

  it('restores the server when its entry had only expired', () => {
    register(2000);
    fleet.unregister('a', 'test');
    register(2000);
    expect(states).to.deep.equal([
      'a@2000 ready',
      'a@2000 gone',
      'a@2000 ready',
    ]);
  });

  it('ignores an earlier incarnation also after the entry has ended', () => {
    register(2000);
    fleet.unregister('a', 'test');
    register(1000);
    expect(states).to.deep.equal(['a@2000 ready', 'a@2000 gone']);
  });

  it('removes an unregistered incarnation after the retention time', async () => {
    register(2000);
    fleet.unregister('a', 'test');
    await clock.advance(70_000);
    fleet.unregister('b', 'test');
    expect(fleet.listStates()).to.deep.equal([]);
  });
});

describe('PartUpdates', () => {
  it('lists a part once per server, for a limited time', async () => {
    const clock = new VirtualClock();
    const updates = new PartUpdates(clock);
    updates.add('a', [shared, own]);
    updates.add('a', [shared, own]);
    updates.add('b', [shared, own]);
    expect(updates.list().map(({server}) => server)).to.have.members([
      'a',
      'b',
    ]);
    await clock.advance(1500);
    expect(updates.list()).to.deep.equal([]);
  });

  it('omits short parts and bounds the number of listed parts', () => {
    const updates = new PartUpdates(new VirtualClock());
    updates.add('a', [{id: 'short', tokens: 10}, own]);
    expect(updates.list()).to.deep.equal([]);
    for (let index = 0; index < 500; index++) {
      updates.add('a', [{id: `p${index}`, tokens: 200}, own]);
    }
    expect(updates.list()).to.have.length(64);
    expect(updates.list().map(({part}) => part.id)).to.include('p499');
  });
});
