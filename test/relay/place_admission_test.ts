import {expect} from 'chai';
import {PlaceCounter} from '../../src/admission/index.js';
import {Account, CatalogView, Route} from '../../src/catalog/index.js';
import {ExecutionStatus} from '../../src/errors/index.js';
import {Log, LogFields} from '../../src/log/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {PlaceAdmission, RelayRequest} from '../../src/relay/index.js';
import {answer, RelayFixture} from './relay_fixture.js';
import {createRoute} from './route_fixture.js';

const split = [{service: 'desk', weight: 1}];
const CHAT = createRoute({split, streaming: true, targetMs: 500});
const TAGS = {...CHAT, name: 'tags', targetMs: 2000, urgency: 2};

function createAccount(name: string, perSecond: number): Account {
  const rate = {perSecond, burst: 1, inTokens: true, plainTokens: 1};
  return {name, keys: [], rate};
}

const ACCOUNTS = [createAccount('large', 300), createAccount('small', 100)];

describe('PlaceAdmission', () => {
  const lines: LogFields[] = [];
  let counter: PlaceCounter;
  let known: number;

  function create(fixture: RelayFixture, isEnabled = true): PlaceAdmission {
    const view = new CatalogView({
      version: 1,
      routes: [TAGS, CHAT],
      services: new Map(),
      accounts: ACCOUNTS,
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    });
    const log = {
      info: (_event: string, fields: LogFields) => lines.push(fields),
    };
    return new PlaceAdmission({
      isEnabled: () => isEnabled,
      log: log as unknown as Log,
      metrics: fixture.metrics,
      random: new SeededRandom(1),
      catalog: {getView: () => view},
      fleet: fixture.fleet,
      counter,
      getKnownFraction: () => known,
    });
  }

  function refuse(
    admission: PlaceAdmission,
    route: Route,
    account = ACCOUNTS[0],
    waitMs = 0,
  ): string | undefined {
    const request = {id: 'r', route, account} as unknown as RelayRequest;
    const place = {request, service: 'desk', waitMs, remainingMs: 5000};
    const problem = admission.decide(place);
    expect(problem?.ran ?? ExecutionStatus.NOT_EXECUTED).to.equal(
      ExecutionStatus.NOT_EXECUTED,
    );
    return problem && String(lines.at(-1)?.reason);
  }

  function take(customer: string, count: number): void {
    for (let request = 0; request < count; request++) {
      counter.add('desk', customer);
    }
  }

  beforeEach(() => {
    lines.length = 0;
    counter = new PlaceCounter(() => []);
    known = 1;
  });

  it('gives customers shares by their rates', () => {
    const admission = create(new RelayFixture(answer));
    take('large', 15);
    take('small', 5);
    expect(refuse(admission, CHAT)).to.equal(undefined);
    take('small', 10);
    expect(refuse(admission, CHAT, ACCOUNTS[1])).to.equal('share');
    expect(refuse(admission, CHAT)).to.equal(undefined);
  });

  it('logs what a refusal depends on, and counts it by reason and rank', () => {
    const fixture = new RelayFixture(answer);
    const admission = create(fixture);
    take('large', 18);
    take('small', 6);
    expect(refuse(admission, TAGS, ACCOUNTS[0], 300)).to.equal('rank');
    expect(lines[0]).to.include({rank: 1, wait_ms: '300', limit_ms: '0'});
    expect(lines[0]).to.include({share: '18.0', in_flight: 19, places: '24'});
    const labels = {reason: 'rank', rank: '1'};
    expect(fixture.metrics.getCount('place_decisions', labels)).to.equal(1);
  });

  // Guards against hosts of a partition that together take all places for their own.
  it('leaves the places of hosts that are not heard to them', () => {
    const admission = create(new RelayFixture(answer));
    take('large', 9);
    take('small', 3);
    expect(refuse(admission, TAGS)).to.equal(undefined);
    known = 0.5;
    expect(refuse(admission, TAGS)).to.equal('rank');
  });

  // Guards against places that stay idle for hosts that were killed.
  it('leaves at most half of the places to hosts that are not heard', () => {
    const admission = create(new RelayFixture(answer));
    take('large', 6);
    known = 0.02;
    expect(refuse(admission, TAGS)).to.equal(undefined);
  });

  it('lets callers who wait for the rate of their customer return by rank', () => {
    const admission = create(new RelayFixture(answer));
    const [chatMs = 0, tagsMs = 0] = [CHAT, TAGS].map(route => {
      const request = {id: 'r', route} as unknown as RelayRequest;
      const place = {request, service: 'desk', waitMs: 60, remainingMs: 5000};
      return admission.spreadRetry(place);
    });
    expect(chatMs).to.be.within(60, 200);
    expect(tagsMs).to.be.within(200, 1500);
  });

  describe('a refused stream', () => {
    it('is not sent to a server', async () => {
      take('', 24);
      const fixture = new RelayFixture(answer, relay => create(relay));
      const sink = await fixture.serve(TAGS);
      expect(sink.problem?.kind).to.equal('no-room');
      expect(fixture.sent).to.deep.equal([]);
    });

    it('is sent where the feature is off', async () => {
      take('', 24);
      const fixture = new RelayFixture(answer, relay => create(relay, false));
      await fixture.serve(TAGS);
      expect(fixture.sent).to.have.length(1);
    });
  });

  describe('a request', () => {
    it('is in flight until it has ended', async () => {
      const fixture = new RelayFixture(
        (...params) => {
          expect(counter.listOwn()).to.deep.equal([['desk', '', 1]]);
          expect(fixture.metrics.format()).to.include(
            'sedgefall_places_in_use{service="desk",customer=""} 1',
          );
          return answer(...params);
        },
        relay => create(relay),
      );
      await fixture.serve(CHAT);
      expect(fixture.sent).to.have.length(1);
      expect(counter.listOwn()).to.deep.equal([]);
    });
  });
});
