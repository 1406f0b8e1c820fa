import {expect} from 'chai';
import {Catalog} from '../../src/catalog/index.js';
import {Fleet, FleetState, RequestOutcome} from '../../src/fleet/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {chooseServer, ScoredServer} from '../../src/routing/index.js';
import {ModelSum, ServerModels} from '../../src/server_model/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE = 'desk';
const KIND = {route: 'chat', hasPrefill: true};
const TOKENS = 6000;
/** Time that the engines of this test take: 120 ms, where constants predict 60. */
const ACTUAL_MS = 120;

describe('Fleet with learned times', () => {
  let clock: VirtualClock;
  let isEnabled: boolean;
  let random: SeededRandom;
  let fleet: Fleet;

  beforeEach(() => {
    clock = new VirtualClock();
    isEnabled = true;
    random = new SeededRandom(2);
    fleet = new Fleet({
      clock,
      log: new SilentLog(),
      random: new SeededRandom(1),
      dataCentre: 'here',
      listPeerLoads: () => [],
      models: new ServerModels({
        clock,
        log: new SilentLog(),
        metrics: new Metrics(),
        isEnabled: () => isEnabled,
        sumPeers: () => new ModelSum().get(),
      }),
    });
    const engine = {slots: 24, cacheTokens: 500_000};
    const services = new Map([[SERVICE, {name: SERVICE, engine}]]);
    fleet.setCatalog({services} as unknown as Catalog);
    for (const id of ['a@1', 'b@1']) {
      addServer(id);
    }
  });

  function addServer(id: string) {
    fleet.register(
      {
        id,
        name: id,
        startedMs: 1,
        service: SERVICE,
        address: `${id}:1`,
        dataCentre: 'here',
        slots: 24,
        state: FleetState.READY,
        reclaimable: false,
      },
      'test',
    );
  }

  function choose(part: string): ScoredServer {
    const parts = [{id: part, tokens: TOKENS}];
    const {chosen} = chooseServer(
      {promptTokens: TOKENS, expectedTokens: 100, excluded: new Set()},
      fleet.listKnowledge(SERVICE, {parts, kind: KIND}),
      random,
    );
    if (chosen === undefined) {
      throw new Error('no server chosen');
    }
    return chosen;
  }

  function track(part: string, {server, firstTokenMs, features}: ScoredServer) {
    const parts = [{id: part, tokens: TOKENS}];
    return fleet.trackRequest(server, parts, firstTokenMs, 0, features);
  }

  /** Sends requests one after the other. */
  async function serve(count: number) {
    for (let index = 0; index < count; index++) {
      const request = track(`${index}`, choose(`${index}`));
      await clock.advance(ACTUAL_MS);
      request.addFirstByte(ACTUAL_MS);
      request.finish(RequestOutcome.SUCCEEDED);
    }
  }

  it('predicts the time that answers have taken', async () => {
    expect(choose('new').firstTokenMs).to.equal(60);
    await serve(20);
    expect(choose('new').firstTokenMs).to.be.closeTo(ACTUAL_MS, 10);
  });

  it('predicts by constants as soon as the feature is off', async () => {
    await serve(20);
    isEnabled = false;
    expect(choose('new').features).to.equal(undefined);
    expect(fleet.listModelSums()).to.equal(undefined);
    expect(fleet.listKnowledge(SERVICE, {parts: [], kind: KIND})[0]?.load)
      .to.have.property('prefillRate')
      .that.equals(100_000);
  });

  it('learns nothing from error responses, which are fast', async () => {
    for (let index = 0; index < 20; index++) {
      const request = track(`${index}`, choose(`${index}`));
      await clock.advance(3);
      request.addFirstByte(3, false);
      request.finish(RequestOutcome.SUCCEEDED);
    }
    expect(choose('new').firstTokenMs).to.equal(60);
  });

  it('chooses another server while the oldest request at one is late', async () => {
    await serve(20);
    const late = choose('late');
    const request = track('late', late);
    await clock.advance(3 * ACTUAL_MS);
    for (let index = 0; index < 10; index++) {
      const {server, queueMs} = choose(`new-${index}`);
      expect(server).not.to.equal(late.server);
      expect(queueMs).to.be.lessThan(1);
    }
    request.finish(RequestOutcome.NEUTRAL);
  });

  // All hosts know the same times: if each chose the fastest server, it would be
  // overloaded before they know of each other's requests.
  it('sends requests to a slower server as well, but fewer', async () => {
    const counts = new Map<string, number>();
    for (let index = 0; index < 400; index++) {
      const chosen = choose(`${index}`);
      const tookMs = chosen.server === 'a@1' ? ACTUAL_MS : ACTUAL_MS * 1.3;
      const request = track(`${index}`, chosen);
      await clock.advance(tookMs);
      request.addFirstByte(tookMs);
      request.finish(RequestOutcome.SUCCEEDED);
      counts.set(chosen.server, (counts.get(chosen.server) ?? 0) + 1);
    }
    expect(counts.get('b@1')).to.be.within(80, 180);
  });

  it('learns from a request that is given up that it takes longer', async () => {
    await serve(20);
    for (let index = 0; index < 5; index++) {
      const request = track(`silent-${index}`, choose(`silent-${index}`));
      await clock.advance(3000);
      request.finish(RequestOutcome.UNRESPONSIVE);
    }
    expect(choose('new').firstTokenMs).to.be.greaterThan(ACTUAL_MS * 1.1);
  });
});
