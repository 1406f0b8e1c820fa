import {expect} from 'chai';
import {Maybe, Result} from 'true-myth';
import {Repeat} from '../../src/catalog/index.js';
import {ExecutionStatus} from '../../src/errors/index.js';
import {Exchange} from '../../src/relay/index.js';
import {
  answer,
  createAnswer,
  createServer,
  fail,
  listStatingExchanges,
  lose,
  RelayFixture,
} from './relay_fixture.js';

describe('Relay, with servers that state rate limits', () => {
  const route = {repeat: Repeat.ANY, maxAttempts: 3};
  const noLimit = Result.ok<Maybe<number>, string>(Maybe.nothing());

  function createFixture(
    exchange: Exchange,
    ...limited: readonly string[]
  ): RelayFixture {
    const fixture = new RelayFixture(exchange);
    for (const server of limited) {
      fixture.limits.addAnswer(server, Result.ok(Maybe.just(1)), 0);
    }
    return fixture;
  }

  it('does not choose servers whose limits are used up', async () => {
    const fixture = createFixture(answer, 's1', 's3');
    for (let count = 0; count < 12; count++) {
      expect((await fixture.serve(route)).body).to.equal('whole');
    }
    expect(new Set(fixture.listServers())).to.deep.equal(new Set(['s2']));
  });

  it('is not affected by limits of servers of another service', async () => {
    const fixture = createFixture(answer, 's1', 'x1');
    fixture.fleet.register({...createServer('x1'), service: 'other'}, 'test');
    await fixture.serve(route);
    expect(['s2', 's3']).to.include(fixture.listServers()[0]);
  });

  it('does not choose such servers for second attempts either', async () => {
    const fixture = createFixture(lose, 's1', 's3');
    await fixture.serve(route);
    expect(fixture.listServers()).to.deep.equal(['s2']);
  });

  it('refuses a request at once, without sending it, if the limits of all servers are used up', async () => {
    const fixture = createFixture(answer, 's1', 's2', 's3');
    const {problem} = await fixture.serve(route);
    expect(fixture.sent).to.deep.equal([]);
    expect(problem?.kind).to.equal('service-limited');
    expect(problem?.status).to.equal(503);
    expect(problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
    expect(problem?.retryAfterSeconds).to.be.within(0.01, 13);
  });

  it('relays the error of the server that was tried if the limits of all others are used up', async () => {
    const fixture = createFixture(fail, 's1', 's3');
    expect((await fixture.serve(route)).status).to.equal(500);
  });

  it('learns limits from answers, streams and rejections', async () => {
    const limit = Result.ok<Maybe<number>, string>(Maybe.just(3));
    const exchanges = listStatingExchanges({isLeaving: false, limit});
    for (const [index, exchange] of exchanges.entries()) {
      const fixture = createFixture(exchange);
      await fixture.serve({streaming: index === 1, maxAttempts: 1});
      const [server = ''] = fixture.listServers();
      expect(fixture.limits.getLimit(server)).to.equal(3);
    }
  });

  it('chooses servers again once an answer states no limit', async () => {
    const fixture = createFixture(
      async () => ({
        ...createAnswer(200, ['whole']),
        statement: {isLeaving: false, limit: noLimit},
      }),
      's1',
      's2',
      's3',
    );
    await fixture.clock.sleep(2500);
    const sink = await fixture.serve(route);
    expect(sink.body).to.equal('whole');
    const [server = ''] = fixture.listServers();
    expect(fixture.limits.getLimit(server)).to.equal(undefined);
  });
});
