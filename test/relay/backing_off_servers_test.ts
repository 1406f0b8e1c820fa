import {expect} from 'chai';
import {Maybe, Result} from 'true-myth';
import {Repeat} from '../../src/catalog/index.js';
import {ExecutionStatus} from '../../src/errors/index.js';
import {FleetState} from '../../src/fleet/index.js';
import {Exchange} from '../../src/relay/index.js';
import {
  answer,
  createAnswer,
  createServer,
  fail,
  formatEvents,
  lose,
  refuse,
  RelayFixture,
} from './relay_fixture.js';

const BACKOFF_MS = 3000;

describe('Relay, with servers that ask for a time without requests', () => {
  const route = {repeat: Repeat.ANY, maxAttempts: 3};
  const statement = {isLeaving: false, backoff: Result.ok(BACKOFF_MS)};

  /** Rejects the request and asks for a backoff. */
  const reject: Exchange = async (...params) => ({
    ...(await refuse(...params)),
    statement,
  });

  function createFixture(
    exchange: Exchange,
    ...backingOff: readonly string[]
  ): RelayFixture {
    const fixture = new RelayFixture(exchange);
    for (const server of backingOff) {
      askFor(fixture, server);
    }
    return fixture;
  }

  function askFor(fixture: RelayFixture, server: string, ms = BACKOFF_MS) {
    fixture.backoffs.endAttempt(server, {
      isAnswered: true,
      stated: Result.ok(ms),
      sentMs: 0,
    });
  }

  it('does not choose them, nor for second attempts', async () => {
    const fixture = createFixture(answer, 's1', 's3');
    for (let count = 0; count < 12; count++) {
      expect((await fixture.serve(route)).body).to.equal('whole');
    }
    expect(new Set(fixture.listServers())).to.deep.equal(new Set(['s2']));
    const losing = createFixture(lose, 's1', 's3');
    await losing.serve(route);
    expect(losing.listServers()).to.deep.equal(['s2']);
  });

  it('is not affected by those of another service', async () => {
    const fixture = createFixture(answer, 'x1');
    fixture.fleet.register({...createServer('x1'), service: 'other'}, 'test');
    expect((await fixture.serve(route)).body).to.equal('whole');
  });

  it('refuses a request at once, without sending it, if all servers have asked', async () => {
    const fixture = createFixture(answer, 's1', 's2', 's3');
    const {problem} = await fixture.serve(route);
    expect(fixture.sent).to.deep.equal([]);
    expect(problem?.kind).to.equal('service-backing-off');
    expect(problem?.status).to.equal(503);
    expect(problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
  });

  it('asks a refused caller to retry when the first server takes requests again', async () => {
    const fixture = createFixture(answer, 's1', 's3');
    askFor(fixture, 's2', 1000);
    const {problem} = await fixture.serve(route);
    expect(problem?.retryAfterSeconds).to.be.within(0.9, 1.43);
  });

  it('sends each server one request if all ask, and refuses the others', async () => {
    const fixture = createFixture(reject);
    for (let count = 0; count < 12; count++) {
      const {problem} = await fixture.serve(route);
      expect(problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    }
    expect(fixture.listServers().sort()).to.deep.equal(['s1', 's2', 's3']);
  });

  it('reads backoffs from rejections and from failures', async () => {
    const failing: Exchange = async () => ({
      ...createAnswer(503, ['failed']),
      statement,
    });
    for (const exchange of [reject, failing]) {
      const fixture = createFixture(exchange);
      await fixture.serve({maxAttempts: 1});
      const [first = ''] = fixture.listServers();
      expect(fixture.backoffs.isActive(first)).to.equal(true);
    }
  });

  it('relays the error of the server that was tried if all others have asked', async () => {
    const fixture = createFixture(fail, 's1', 's3');
    expect((await fixture.serve(route)).status).to.equal(500);
  });

  it('refuses a request if each server is rate-limited or has asked', async () => {
    const fixture = createFixture(answer, 's1', 's2');
    fixture.limits.addAnswer('s3', Result.ok(Maybe.just(1)), 0);
    const {problem} = await fixture.serve(route);
    expect(fixture.sent).to.deep.equal([]);
    expect(problem?.kind).to.equal('service-limited');
  });

  // Guards against requests that were chosen before a server asked, and are sent after.
  it('does not send what was chosen before the server asked', async () => {
    const states: boolean[] = [];
    const fixture: RelayFixture = new RelayFixture(async params => {
      states.push(params.maySend());
      askFor(fixture, params.server.id);
      states.push(params.maySend());
      return createAnswer(200, []);
    });
    await fixture.serve({});
    expect(states).to.deep.equal([true, false]);
  });

  // Guards against a stream that was stopped for its relocation and is lost, since no server
  // can be chosen though its copy is at one already.
  it('continues a copied run also if all servers have asked since', async () => {
    const stream: Exchange = async ({copy, maySend}) => {
      if (copy !== undefined) {
        expect(maySend()).to.equal(true);
        return createAnswer(200, formatEvents(2, 3));
      }
      return createAnswer(
        200,
        (async function* () {
          yield* formatEvents(1, 1);
          const [from = ''] = fixture.listServers();
          fixture.fleet.register(
            {...createServer(from, FleetState.DRAINING), leavesMs: 0},
            'test',
          );
          while (!fixture.copies.some(({stops}) => stops)) {
            await new Promise(resolve => setTimeout(resolve, 10));
          }
          for (const server of ['s1', 's2', 's3']) {
            askFor(fixture, server);
          }
          throw new Error('stopped');
        })(),
      );
    };
    const fixture = new RelayFixture(stream);
    const sink = await fixture.serve({streaming: true, repeat: Repeat.ONCE});
    expect(sink.body).to.equal(formatEvents(1, 3).join(''));
  });

  // Guards against requests that are refused since they were drawn for a version on trial
  // whose servers have all asked, while those of the previous version take requests.
  it('sends a request to the previous version if all servers on trial have asked', async () => {
    const fixture = createFixture(answer, 's3');
    for (const id of ['s1', 's2', 's3']) {
      const version = id === 's3' ? 'v2' : 'v1';
      fixture.fleet.register({...createServer(id), version}, 'test');
    }
    fixture.selectVersion = isFirst => (isFirst ? 'v2' : 'v1');
    expect((await fixture.serve(route)).body).to.equal('whole');
    expect(['s1', 's2']).to.include(fixture.listServers()[0]);
  });

  it('requests no copy of a stream from a server in the time it asked for', async () => {
    const stream: Exchange = async ({server, copy}) => {
      if (copy !== undefined) {
        return createAnswer(200, formatEvents(2, 3));
      }
      return createAnswer(
        200,
        (async function* () {
          yield* formatEvents(1, 1);
          askFor(fixture, server.id, 400);
          fixture.fleet.register(
            {...createServer(server.id, FleetState.DRAINING), leavesMs: 0},
            'test',
          );
          await new Promise(resolve => setTimeout(resolve, 200));
          expect(fixture.copies).to.deep.equal([]);
          while (fixture.copies.length < 2) {
            await new Promise(resolve => setTimeout(resolve, 10));
          }
          throw new Error('stopped');
        })(),
      );
    };
    const fixture = new RelayFixture(stream);
    const sink = await fixture.serve({streaming: true, repeat: Repeat.ONCE});
    expect(sink.body).to.equal(formatEvents(1, 3).join(''));
  });
});
