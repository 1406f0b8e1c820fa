import {expect} from 'chai';
import {
  createStartId,
  Fleet,
  FleetState,
  FlightEnd,
  HostLoad,
  PartNews,
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
      fleet.set(
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

  it('counts a part that a peer has sent to a server as cached there', () => {
    for (const server of ['a', 'b']) {
      fleet.addPeerParts([{server, part: shared}]);
    }
    expect(getKnowledge('a')?.cachedTokens).to.equal(5000);
    expect(getKnowledge('b')?.cachedTokens).to.equal(5000);
  });

  it('tells peers the shared parts that it sends, not what is a request’s own', () => {
    fleet.startFlight('a', [shared, own], 0);
    expect(fleet.listSentParts()).to.deep.equal([{server: 'a', part: shared}]);
  });

  it('counts before a request what is as urgent, not what is less', () => {
    fleet.startFlight('a', [{id: 'x', tokens: 9000}], 0, 2);
    fleet.startFlight('a', [{id: 'y', tokens: 4000}], 0, 1);
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

  it('takes a peer’s prompts for computed as time goes by', () => {
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

describe('Fleet, when a server starts again under its name', () => {
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

  function start(startedMs: number, state: FleetState = FleetState.READY) {
    fleet.set(
      {
        id: createStartId('a', startedMs),
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

  it('ends the start before it and knows nothing of it any more', async () => {
    start(1000);
    const flight = fleet.startFlight('a@1000', [shared, own], 0);
    flight.addFirstByte(9000);
    for (let failures = 0; failures < 3; failures++) {
      fleet.startFlight('a@1000', [], 0).finish(FlightEnd.FAILED);
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
    start(2000);
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
    // Only the credit of the home that all hosts agree on.
    expect(known[0]?.cachedTokens).to.equal(shared.tokens / 2);
  });

  it('is not taken back by an earlier start’s entry that is heard late', () => {
    start(2000);
    start(1000, FleetState.DRAINING);
    start(1000);
    expect(states).to.deep.equal(['a@2000 ready']);
  });

  it('is ended by an entry that does not say which start it is', () => {
    start(2000);
    start(0);
    expect(states).to.deep.equal(['a@2000 ready', 'a@2000 gone']);
    expect(fleet.listKnowledge(SERVICE, {parts: []})).to.have.length(0);
  });

  it('is back when its entry had only lapsed', () => {
    start(2000);
    fleet.remove('a', 'test');
    start(2000);
    expect(states).to.deep.equal([
      'a@2000 ready',
      'a@2000 gone',
      'a@2000 ready',
    ]);
  });

  it('takes no earlier start for new after its entry has ended', () => {
    start(2000);
    fleet.remove('a', 'test');
    start(1000);
    expect(states).to.deep.equal(['a@2000 ready', 'a@2000 gone']);
  });

  it('forgets a start at last, with its name', async () => {
    start(2000);
    fleet.remove('a', 'test');
    await clock.advance(70_000);
    fleet.remove('b', 'test');
    expect(fleet.listStates()).to.deep.equal([]);
  });
});

describe('PartNews', () => {
  it('tells a part once a server, for a while', async () => {
    const clock = new VirtualClock();
    const news = new PartNews(clock);
    news.add('a', [shared, own]);
    news.add('a', [shared, own]);
    news.add('b', [shared, own]);
    expect(news.list().map(({server}) => server)).to.have.members(['a', 'b']);
    await clock.advance(1500);
    expect(news.list()).to.deep.equal([]);
  });

  it('leaves out short parts and bounds what is told', () => {
    const news = new PartNews(new VirtualClock());
    news.add('a', [{id: 'short', tokens: 10}, own]);
    expect(news.list()).to.deep.equal([]);
    for (let index = 0; index < 500; index++) {
      news.add('a', [{id: `p${index}`, tokens: 200}, own]);
    }
    expect(news.list()).to.have.length(64);
    expect(news.list().map(({part}) => part.id)).to.include('p499');
  });
});
