import {expect} from 'chai';
import {IncompleteAnswer, IncompleteReason} from '../../src/answer/index.js';
import {Repeat} from '../../src/catalog/index.js';
import {ExecutionStatus} from '../../src/errors/index.js';
import {createIncarnationId, FleetState} from '../../src/fleet/index.js';
import {Exchange, ExchangeKind} from '../../src/relay/index.js';
import {
  answer,
  answerInTurn,
  createAnswer,
  createServer,
  disconnectAfter,
  fail,
  formatEvents,
  hang,
  listStatingExchanges,
  lose,
  refuse,
  RelayFixture,
} from './relay_fixture.js';

describe('Relay', () => {
  describe('runs', () => {
    it('are counted by the version of their server and their end', async () => {
      const fixture = new RelayFixture(answerInTurn(answer, fail));
      for (const id of ['s1', 's2', 's3']) {
        fixture.fleet.register({...createServer(id), version: 'v2'}, 'test');
      }
      await fixture.serve({});
      await fixture.serve({});
      const count = (end: string) =>
        fixture.metrics.getCount('version_runs', {
          service: 'desk',
          version: 'v2',
          end,
        });
      expect([count('good'), count('bad')]).to.deep.equal([1, 1]);
    });
  });

  describe('a stream', () => {
    it('contributes to the measured delay of its server by its first event only', async () => {
      const slow = createAnswer(
        200,
        (async function* () {
          for (const event of formatEvents(1, 5)) {
            yield event;
            await new Promise(resolve => setTimeout(resolve, 40));
          }
        })(),
      );
      const fixture = new RelayFixture(async () => slow);
      await fixture.serve({streaming: true});
      const known = fixture.fleet.listKnowledge('desk', {parts: []});
      expect(known.map(({excessMs}) => excessMs)).to.deep.equal([0, 0, 0]);
    });
  });

  describe('a request during which servers terminate', () => {
    const route = {repeat: Repeat.ANY, maxAttempts: 2};
    const SERVERS = ['s1', 's2', 's3', 's4', 's5', 's6', 's7', 's8'];

    function createFixture(
      exchange: Exchange,
      terminates: boolean,
    ): RelayFixture {
      const fixture = new RelayFixture((params, signal) => {
        if (terminates) {
          fixture.terminated.add(params.server.id);
        }
        return exchange(params, signal);
      });
      for (const id of SERVERS) {
        fixture.fleet.register(createServer(id), 'test');
      }
      return fixture;
    }

    async function serveOften(fixture: RelayFixture): Promise<void> {
      for (let count = 0; count < 10; count++) {
        await fixture.serve(route);
      }
    }

    it('is refused without being sent once three have terminated', async () => {
      const fixture = createFixture(lose, true);
      await serveOften(fixture);
      expect(new Set(fixture.listServers()).size).to.equal(3);
      const before = fixture.sent.length;
      const sink = await fixture.serve(route);
      expect(fixture.sent).to.have.length(before);
      expect(sink.problem?.kind).to.equal('quarantined');
      expect(sink.problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
      expect(sink.problem?.retryAfterSeconds).to.be.within(599, 600);
    });

    it('is not suspected if the servers are still running', async () => {
      const fixture = createFixture(lose, false);
      await serveOften(fixture);
      expect(fixture.quarantine.hasSuspects()).to.equal(false);
    });

    it('is not suspected if an answer was corrupted', async () => {
      const corrupt: Exchange = async () => ({
        kind: ExchangeKind.LOST,
        detail: 'answer of another request',
        corrupted: true,
      });
      const fixture = createFixture(corrupt, true);
      await serveOften(fixture);
      expect(fixture.quarantine.hasSuspects()).to.equal(false);
    });

    // Guards against a request that is blamed for a server that sends bytes without end.
    it('is not suspected if the answer was too long to be one', async () => {
      for (const reason of [
        IncompleteReason.EVENT_TOO_LONG,
        IncompleteReason.OVERHEAD,
      ]) {
        const endless: Exchange = async () =>
          createAnswer(
            200,
            (function* () {
              yield 'data';
              throw new IncompleteAnswer(reason, 'too long');
            })(),
          );
        const fixture = createFixture(endless, true);
        await serveOften(fixture);
        expect(fixture.quarantine.hasSuspects()).to.equal(false);
      }
    });

    it('is not suspected if its caller disconnected', async () => {
      const fixture = createFixture(hang, true);
      await fixture.serve(route, 2000, AbortSignal.timeout(20));
      expect(fixture.quarantine.hasSuspects()).to.equal(false);
    });

    it('is cleared by an answer', async () => {
      const fixture = createFixture(answerInTurn(lose, lose, answer), true);
      await fixture.serve(route);
      await fixture.serve(route);
      const name = fixture.quarantine.listSince(0).suspects[0];
      expect(name?.clearedLevel).to.equal(2);
      expect(name?.ends).to.deep.equal([]);
    });
  });

  describe('queued prompts at all servers', () => {
    const prompt = (tokens: number) => ({
      parts: [{id: 'own', tokens}],
      tokensIn: tokens,
      tokensOut: 10,
    });

    function saturate(fixture: RelayFixture): void {
      for (const server of ['s1', 's2', 's3']) {
        fixture.fleet.trackRequest(server, prompt(90_000).parts, 0, 1);
      }
    }

    it('have a stream refused at once, without being sent, with a retry delay', async () => {
      const fixture = new RelayFixture(answer);
      saturate(fixture);
      const route = {streaming: true, targetMs: 300, urgency: 1};
      const sink = await fixture.serve(route, 2000, undefined, prompt(100));
      expect(fixture.sent).to.have.length(0);
      expect(sink.problem?.status).to.equal(503);
      expect(sink.problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
      expect(sink.problem?.retryAfterSeconds).to.be.within(0.6, 1.2);
    });

    it('do not have a more urgent stream refused', async () => {
      const fixture = new RelayFixture(async () =>
        createAnswer(200, formatEvents(1, 2)),
      );
      saturate(fixture);
      const route = {streaming: true, targetMs: 300, urgency: 0};
      const sink = await fixture.serve(route, 2000, undefined, prompt(100));
      expect(sink.ended).to.equal(true);
    });

    it('do not have a stream refused whose target allows the wait', async () => {
      const fixture = new RelayFixture(async () =>
        createAnswer(200, formatEvents(1, 2)),
      );
      saturate(fixture);
      const route = {streaming: true, targetMs: 1000, urgency: 1};
      const sink = await fixture.serve(route, 2000, undefined, prompt(100));
      expect(sink.ended).to.equal(true);
    });
  });

  describe('a stream that may be resumed', () => {
    it('starts over at another server if one fails before its first event', async () => {
      const stream: Exchange = async () =>
        createAnswer(200, formatEvents(1, 2));
      const fixture = new RelayFixture(answerInTurn(fail, stream));
      const sink = await fixture.serve({
        repeat: Repeat.RESUME,
        streaming: true,
        maxAttempts: 2,
      });
      expect(sink.status).to.equal(200);
      expect(sink.body).to.equal(formatEvents(1, 2).join(''));
    });

    it('gets the error if no other server may be tried', async () => {
      const fixture = new RelayFixture(fail);
      const sink = await fixture.serve({
        repeat: Repeat.RESUME,
        streaming: true,
        maxAttempts: 1,
      });
      expect(sink.status).to.equal(500);
      expect(sink.body).to.equal('failed');
    });
  });

  describe('a server that restarts under the same name', () => {
    function restart(fixture: RelayFixture): void {
      const before = fixture.sent[0]?.server.name ?? '';
      const server = createServer(before);
      const id = createIncarnationId(before, 7);
      fixture.fleet.register({...server, id, startedMs: 7}, 'test');
    }

    it('loses a request that may run once, which is not sent again', async () => {
      const fixture = new RelayFixture(answerInTurn(hang, answer));
      const served = fixture.serve({repeat: Repeat.ONCE});
      await new Promise(setImmediate);
      restart(fixture);
      const sink = await served;
      expect(sink.problem?.status).to.equal(502);
      expect(sink.problem?.ran).to.equal(ExecutionStatus.UNKNOWN);
      expect(fixture.sent).to.have.length(1);
    });

    it('loses a request that may run again, which is sent to another server at once', async () => {
      const fixture = new RelayFixture(answerInTurn(hang, answer));
      const served = fixture.serve({repeat: Repeat.ANY, maxAttempts: 2});
      await new Promise(setImmediate);
      restart(fixture);
      expect((await served).body).to.equal('whole');
      expect(fixture.sent).to.have.length(2);
    });
  });

  describe('a request that may run once', () => {
    it('is not sent again after it may have run', async () => {
      const fixture = new RelayFixture(answerInTurn(lose, answer));
      const sink = await fixture.serve({repeat: Repeat.ONCE});
      expect(fixture.sent).to.have.length(1);
      expect(sink.problem?.status).to.equal(502);
      expect(sink.problem?.ran).to.equal(ExecutionStatus.UNKNOWN);
    });

    it('is sent to another server if one reports that it did not run', async () => {
      const fixture = new RelayFixture(answerInTurn(refuse, answer));
      const sink = await fixture.serve({repeat: Repeat.ONCE, maxAttempts: 1});
      expect(sink.body).to.equal('whole');
      expect(new Set(fixture.listServers()).size).to.equal(2);
    });

    it('is refused with a retry delay if no server accepts it', async () => {
      const fixture = new RelayFixture(refuse);
      const sink = await fixture.serve({repeat: Repeat.ONCE});
      expect(sink.problem?.status).to.equal(503);
      expect(sink.problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
      expect(sink.problem?.retryAfterSeconds).to.be.greaterThan(0);
    });

    it('is never reported as not run once one attempt was lost', async () => {
      const fixture = new RelayFixture(answerInTurn(refuse, lose, refuse));
      const sink = await fixture.serve({repeat: Repeat.ONCE, maxAttempts: 3});
      expect(sink.problem?.status).to.equal(502);
    });
  });

  describe('a request that may run again', () => {
    it('is sent to another server after a lost answer', async () => {
      const fixture = new RelayFixture(answerInTurn(lose, answer));
      const sink = await fixture.serve({repeat: Repeat.ANY});
      expect(sink.body).to.equal('whole');
    });

    it('never gets an answer composed of the answers of two servers', async () => {
      const large = 'x'.repeat(100_000);
      const fixture = new RelayFixture(
        answerInTurn(
          async () =>
            createAnswer(
              200,
              (function* () {
                yield large;
                throw new Error('reset');
              })(),
            ),
          answer,
        ),
      );
      const sink = await fixture.serve({repeat: Repeat.ANY});
      expect(sink.ended).to.equal(false);
      expect(sink.aborted).to.equal(true);
      expect(sink.body).to.equal(large);
    });

    it('gets the answer of another server if a short one breaks off', async () => {
      const fixture = new RelayFixture(
        answerInTurn(
          async () =>
            createAnswer(
              200,
              (function* () {
                yield 'who';
                throw new Error('reset');
              })(),
            ),
          answer,
        ),
      );
      const sink = await fixture.serve({repeat: Repeat.ANY});
      expect(sink.body).to.equal('whole');
      expect(sink.ended).to.equal(true);
    });

    it('gets the error of a server if no attempt succeeds', async () => {
      const fixture = new RelayFixture(fail);
      const sink = await fixture.serve({repeat: Repeat.ANY});
      expect(fixture.sent).to.have.length(2);
      expect(sink.status).to.equal(500);
      expect(sink.body).to.equal('failed');
    });

    it('is not repeated if the retry budget is exhausted', async () => {
      const fixture = new RelayFixture(answerInTurn(lose, answer));
      fixture.budget = 0;
      const sink = await fixture.serve({repeat: Repeat.ANY});
      expect(fixture.sent).to.have.length(1);
      expect(sink.problem?.status).to.equal(502);
    });
  });

  describe('cancellation', () => {
    it('ends the request at the deadline', async () => {
      const fixture = new RelayFixture(hang);
      const startMs = fixture.clock.monotonicMs();
      const sink = await fixture.serve({repeat: Repeat.ANY}, 120);
      expect(sink.problem?.status).to.equal(504);
      expect(fixture.clock.monotonicMs() - startMs).to.be.lessThan(1000);
    });

    it('ends the request when its caller disconnects', async () => {
      const disconnected = new AbortController();
      const fixture = new RelayFixture((params, signal) => {
        setImmediate(() => disconnected.abort());
        return hang(params, signal);
      });
      const sink = await fixture.serve({}, 5000, disconnected.signal);
      expect(sink.aborted).to.equal(true);
    });
  });

  describe('a stream', () => {
    const streaming = {streaming: true, repeat: Repeat.RESUME};

    it('continues at another server after the last complete event', async () => {
      const fixture = new RelayFixture(
        answerInTurn(disconnectAfter(1, 3), async () =>
          createAnswer(200, formatEvents(4, 6)),
        ),
      );
      const sink = await fixture.serve(streaming);
      expect(sink.body).to.equal(formatEvents(1, 6).join(''));
      expect(sink.ended).to.equal(true);
      expect(fixture.sent[1]?.lastEventId).to.equal('3');
    });

    it('is broken off, not ended, if it may not continue', async () => {
      const fixture = new RelayFixture(disconnectAfter(1, 3));
      const sink = await fixture.serve({...streaming, repeat: Repeat.ONCE});
      expect(sink.aborted).to.equal(true);
      expect(sink.ended).to.equal(false);
      expect(sink.body).to.equal(formatEvents(1, 3).join(''));
    });
  });

  describe('a stream whose server leaves', () => {
    const streaming = {streaming: true, repeat: Repeat.ONCE, maxAttempts: 1};

    /** Runs until its server is draining and its memory was copied. */
    function runUntilCopied(getFixture: () => RelayFixture): Exchange {
      return async params => {
        async function* read(): AsyncGenerator<string> {
          yield* formatEvents(1, 2);
          const fixture = getFixture();
          const leaving = createServer(params.server.id, FleetState.DRAINING);
          fixture.fleet.register({...leaving, leavesMs: 1000}, 'test');
          while (fixture.copies.every(copy => !copy.stops)) {
            await new Promise(resolve => setImmediate(resolve));
          }
          throw new Error('connection closed before the end of the stream');
        }
        return createAnswer(200, read());
      };
    }

    it('continues from the copy of its memory', async () => {
      const fixture: RelayFixture = new RelayFixture(
        answerInTurn(
          runUntilCopied(() => fixture),
          async () => createAnswer(200, formatEvents(3, 4)),
        ),
      );
      const sink = await fixture.serve(streaming);
      expect(sink.body).to.equal(formatEvents(1, 4).join(''));
      const [first, second] = fixture.sent;
      expect(fixture.copies.map(copy => copy.stops)).to.deep.equal([
        false,
        true,
      ]);
      expect(second?.copy).to.deep.equal({
        source: first?.server.address,
        handle: 'h1',
      });
      expect(second?.lastEventId).to.equal('2');
      expect(second?.server.id).to.equal(fixture.copies[0]?.to.id);
    });

    it('is not stopped for a destination that starts draining during the first copy', async () => {
      const fixture: RelayFixture = new RelayFixture(
        answerInTurn(
          runUntilCopied(() => fixture),
          async () => createAnswer(200, formatEvents(3, 4)),
        ),
      );
      fixture.onCopy = ({to}) => {
        if (fixture.copies.length === 1) {
          fixture.fleet.register(
            createServer(to.id, FleetState.DRAINING),
            'test',
          );
        }
      };
      const sink = await fixture.serve(streaming);
      expect(sink.body).to.equal(formatEvents(1, 4).join(''));
      const [abandoned, preCopy, finalCopy] = fixture.copies;
      expect(preCopy?.to.id).not.to.equal(abandoned?.to.id);
      expect(finalCopy).to.deep.include({to: preCopy?.to, stops: true});
      expect(fixture.sent[1]?.server.id).to.equal(preCopy?.to.id);
    });

    it('has the state of its server checked again before the first byte is sent', async () => {
      const states: boolean[] = [];
      const fixture: RelayFixture = new RelayFixture(async params => {
        states.push(params.maySend());
        const {id} = params.server;
        fixture.fleet.register(createServer(id, FleetState.DRAINING), 'test');
        states.push(params.maySend());
        return createAnswer(200, []);
      });
      await fixture.serve({});
      expect(states).to.deep.equal([true, false]);
    });

    it('has its state checked again also if only an answer states that it leaves', async () => {
      const states: boolean[] = [];
      const fixture: RelayFixture = new RelayFixture(async params => {
        states.push(params.maySend());
        fixture.fleet.leaving.addAnswer(params.server.id);
        states.push(params.maySend());
        return createAnswer(200, []);
      });
      await fixture.serve({});
      expect(states).to.deep.equal([true, false]);
    });

    it('gets no new requests once an answer, failure or rejection states that it leaves', async () => {
      const exchanges = listStatingExchanges({isLeaving: true});
      for (const [index, exchange] of exchanges.entries()) {
        const fixture = new RelayFixture(answerInTurn(exchange, answer));
        await fixture.serve({streaming: index === 1, maxAttempts: 1});
        const [first = ''] = fixture.listServers();
        for (let count = 0; count < 12; count++) {
          await fixture.serve({});
        }
        expect(fixture.listServers().slice(1)).not.to.include(first);
      }
    });

    it('gets no new requests', async () => {
      const fixture = new RelayFixture(answer);
      for (const id of ['s1', 's2']) {
        fixture.fleet.register(createServer(id, FleetState.DRAINING), 'test');
      }
      await fixture.serve({});
      expect(fixture.listServers()).to.deep.equal(['s3']);
    });
  });
});
