import {expect} from 'chai';
import {Maybe, Result} from 'true-myth';
import {Repeat} from '../../src/catalog/index.js';
import {Ran} from '../../src/errors/index.js';
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

describe('Relay, before servers that limit what they take', () => {
  const route = {repeat: Repeat.ANY, maxAttempts: 3};
  const none = Result.ok<Maybe<number>, string>(Maybe.nothing());

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

  it('are passed over while their limits are used up', async () => {
    const fixture = createFixture(answer, 's1', 's3');
    for (let count = 0; count < 12; count++) {
      expect((await fixture.serve(route)).body).to.equal('whole');
    }
    expect(new Set(fixture.listServers())).to.deep.equal(new Set(['s2']));
  });

  it('of another service keep nothing from this one’s', async () => {
    const fixture = createFixture(answer, 's1', 'x1');
    fixture.fleet.set({...createServer('x1'), service: 'other'}, 'test');
    await fixture.serve(route);
    expect(['s2', 's3']).to.include(fixture.listServers()[0]);
  });

  it('are passed over by second attempts, too', async () => {
    const fixture = createFixture(lose, 's1', 's3');
    await fixture.serve(route);
    expect(fixture.listServers()).to.deep.equal(['s2']);
  });

  it('have a request refused at once, unsent, where there are no others', async () => {
    const fixture = createFixture(answer, 's1', 's2', 's3');
    const {problem} = await fixture.serve(route);
    expect(fixture.sent).to.deep.equal([]);
    expect(problem?.kind).to.equal('service-limited');
    expect(problem?.status).to.equal(503);
    expect(problem?.ran).to.equal(Ran.NO);
    expect(problem?.retryAfterSeconds).to.be.within(0.01, 13);
  });

  it('leave a caller the failure of the one that was asked', async () => {
    const fixture = createFixture(fail, 's1', 's3');
    expect((await fixture.serve(route)).status).to.equal(500);
  });

  it('are known by answers, streams and rejections', async () => {
    const limit = Result.ok<Maybe<number>, string>(Maybe.just(3));
    const stated: Exchange[] = [
      async () => ({...createAnswer(200, ['whole']), limit}),
      async () => ({...createAnswer(200, formatEvents(1, 3)), limit}),
      async () => ({...createAnswer(500, ['failed']), limit}),
      async (...order) => ({...(await refuse(...order)), limit}),
    ];
    for (const [index, exchange] of stated.entries()) {
      const fixture = createFixture(exchange);
      await fixture.serve({streaming: index === 1, maxAttempts: 1});
      const [server = ''] = fixture.listServers();
      expect(fixture.limits.getLimit(server)).to.equal(3);
    }
  });

  it('are chosen again once an answer names no limit', async () => {
    const fixture = createFixture(
      async () => ({...createAnswer(200, ['whole']), limit: none}),
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
