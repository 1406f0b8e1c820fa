import {expect} from 'chai';
import fc from 'fast-check';
import {Repeat, Route} from '../../src/catalog/index.js';
import {problems} from '../../src/errors/index.js';
import {FleetState} from '../../src/fleet/index.js';
import {ConnectionOutcome} from '../../src/http/index.js';
import {AttemptEnd, ExchangeKind} from '../../src/relay/index.js';
import {
  EVENTS,
  PausedStream,
  STEADY,
  STREAM,
  WHOLE,
  streamInTurn,
} from './paused_stream.js';
import {
  answerInTurn,
  CollectedAnswer,
  createAnswer,
  createServer,
  fail,
  formatEvents,
  hang,
  lose,
  refuse,
  RelayFixture,
} from './relay_fixture.js';

/** Longer than the pause after which a server counts as silent. */
const SILENCE_MS = 1100;
const TIMEOUT_MS = 4000;

// Guards against LOST: a run of a silent server was given up before another one had gone on.
describe('a request whose server is silent', () => {
  describe('in the middle of a stream', () => {
    const paused: PausedStream = {pauseBefore: 3, pauseMs: SILENCE_MS};
    const silentForGood: PausedStream = {pauseBefore: 3, pauseMs: Infinity};

    function expectWhole({body, ended}: CollectedAnswer): void {
      expect(body).to.equal(WHOLE);
      expect(ended).to.equal(true);
    }

    it('goes on there if the other server is silent as well', async () => {
      const aborted: number[] = [];
      const runs = [paused, silentForGood];
      const fixture = new RelayFixture(
        streamInTurn(EVENTS, runs, run => aborted.push(run)),
      );
      expectWhole(await fixture.serve(STREAM, TIMEOUT_MS));
      expect(fixture.sent).to.have.length(2);
      expect(aborted).to.deep.equal([1]);
    });

    it('goes on at another server, and the first run is closed', async () => {
      const aborted: number[] = [];
      const fixture = new RelayFixture(
        streamInTurn(EVENTS, [silentForGood, STEADY], run => aborted.push(run)),
      );
      expectWhole(await fixture.serve(STREAM, TIMEOUT_MS));
      expect(aborted).to.deep.equal([0]);
      const [first] = fixture.listServers();
      const known = fixture.fleet.listKnowledge('desk', {parts: []});
      const ejected = known.filter(server => server.ejected);
      expect(ejected.map(({server}) => server)).to.deep.equal([first]);
    });

    it('goes on there if the other server fails', async () => {
      const failed: PausedStream = {pauseBefore: 0, pauseMs: 0, resetBefore: 3};
      for (const other of [failed, undefined]) {
        const stream = streamInTurn(EVENTS, [paused, other ?? STEADY]);
        const fixture = new RelayFixture(
          answerInTurn(stream, other === undefined ? refuse : stream),
        );
        expectWhole(await fixture.serve(STREAM, TIMEOUT_MS));
      }
    });

    it('goes on at the other server if the first one fails meanwhile', async () => {
      const runs = [
        {...silentForGood, pauseMs: 800, resetBefore: 4},
        {pauseBefore: 4, pauseMs: 300},
      ];
      const fixture = new RelayFixture(streamInTurn(EVENTS, runs));
      expectWhole(await fixture.serve(STREAM, TIMEOUT_MS));
      expect(fixture.sent).to.have.length(2);
    });

    it('goes on there if the retry budget is exhausted', async () => {
      const fixture = new RelayFixture(streamInTurn(EVENTS, [paused]));
      fixture.budget = 0;
      expectWhole(await fixture.serve(STREAM, TIMEOUT_MS));
      expect(fixture.sent).to.have.length(1);
    });

    it('goes on at another server once the retry budget allows it', async () => {
      const fixture = new RelayFixture(
        streamInTurn(EVENTS, [silentForGood, STEADY]),
      );
      fixture.budget = 0;
      setTimeout(() => (fixture.budget = 1), 1500);
      expectWhole(await fixture.serve(STREAM, TIMEOUT_MS));
    });

    it('takes no retry from the budget if no other server can go on', async () => {
      const fixture = new RelayFixture(streamInTurn(EVENTS, [paused]));
      for (const id of ['s2', 's3']) {
        const draining = createServer(id, FleetState.DRAINING);
        fixture.fleet.register(draining, 'test');
      }
      expectWhole(await fixture.serve(STREAM, TIMEOUT_MS));
      expect(fixture.spentRetries).to.equal(0);
    });

    it('is broken off at its deadline, not before', async () => {
      const fixture = new RelayFixture(streamInTurn(EVENTS, [silentForGood]));
      const beganMs = performance.now();
      const sink = await fixture.serve(STREAM, 2000);
      expect(performance.now() - beganMs).to.be.at.least(1950);
      expect(sink.body).to.equal(formatEvents(1, 2).join(''));
      expect(sink.aborted).to.equal(true);
      const end = AttemptEnd.DEADLINE;
      expect(fixture.metrics.getCount('attempts_failed', {end})).to.equal(2);
    });

    it('runs at no more servers than its route allows', async () => {
      const fixture = new RelayFixture(
        streamInTurn(EVENTS, [silentForGood, paused]),
      );
      await fixture.serve(STREAM, TIMEOUT_MS);
      expect(fixture.sent).to.have.length(2);
    });

    it('runs once if its route allows no second run', async () => {
      const fixture = new RelayFixture(streamInTurn(EVENTS, [paused]));
      const once = {...STREAM, repeat: Repeat.ONCE};
      expectWhole(await fixture.serve(once, TIMEOUT_MS));
      expect(fixture.sent).to.have.length(1);
    });

    it('is not sent again because its caller reads slowly', async () => {
      const fixture = new RelayFixture(streamInTurn(EVENTS, [STEADY]));
      const sink = new CollectedAnswer();
      const write = sink.write.bind(sink);
      sink.write = async bytes => {
        await write(bytes);
        await new Promise(resolve => setTimeout(resolve, 900));
      };
      const request = fixture.createRequest(STREAM, 8000);
      const {signal} = new AbortController();
      await fixture.relay.serve(request, sink, signal);
      expectWhole(sink);
      expect(fixture.sent).to.have.length(1);
    });
  });

  describe('before its answer', () => {
    const whole: Partial<Route> = {repeat: Repeat.ANY, timeoutMs: 600};
    const answerLate =
      (ms: number, body: string): typeof hang =>
      async (_params, signal) => {
        await new Promise(resolve => {
          setTimeout(resolve, ms);
          signal.addEventListener('abort', resolve);
        });
        return signal.aborted
          ? {kind: ExchangeKind.LOST, detail: 'cancelled'}
          : createAnswer(200, [body]);
      };

    it('gets the answer of the server that answers first', async () => {
      for (const [ms, expected] of [
        [500, 'first'],
        [1500, 'second'],
      ] as const) {
        const fixture = new RelayFixture(
          answerInTurn(answerLate(ms, 'first'), answerLate(400, 'second')),
        );
        const sink = await fixture.serve(whole, TIMEOUT_MS);
        expect(sink.body).to.equal(expected);
        expect(fixture.sent).to.have.length(2);
      }
    });

    it('gets the answer of the first server if the others fail', async () => {
      for (const other of [lose, refuse, fail]) {
        const fixture = new RelayFixture(
          answerInTurn(answerLate(800, 'first'), other),
        );
        const sink = await fixture.serve(whole, TIMEOUT_MS);
        expect(sink.body).to.equal('first');
      }
    });

    it('gets an error response that is final at once', async () => {
      const fixture = new RelayFixture(
        answerInTurn(hang, async () => createAnswer(404, ['unknown'])),
      );
      const sink = await fixture.serve(whole, TIMEOUT_MS);
      expect(sink.status).to.equal(404);
    });
  });

  // Guards against LOST: a host that took itself for cut off gave up runs before another host
  // had taken the request.
  describe('at a host that loses its connections to the servers', () => {
    function createFixture(first: PausedStream): RelayFixture {
      const fixture = new RelayFixture(streamInTurn(EVENTS, [first]));
      fixture.connectionOutcome = ConnectionOutcome.NO_ANSWER;
      return fixture;
    }

    it('goes on there if no other host takes it', async () => {
      const fixture = createFixture({pauseBefore: 3, pauseMs: SILENCE_MS});
      fixture.forward = async () => ({
        kind: ExchangeKind.NOT_RUN,
        detail: 'refused',
        refusal: problems.serversUnreachable('desk', 1),
      });
      const sink = await fixture.serve(STREAM, TIMEOUT_MS);
      expect(sink.body).to.equal(WHOLE);
    });

    it('goes on by way of another host', async () => {
      const fixture = createFixture({pauseBefore: 3, pauseMs: Infinity});
      fixture.forward = async ({lastEventId}) =>
        createAnswer(200, formatEvents(Number(lastEventId) + 1, EVENTS));
      const sink = await fixture.serve(STREAM, TIMEOUT_MS);
      expect(sink.body).to.equal(WHOLE);
      expect(fixture.forwarded).to.have.length(1);
    });
  });

  describe('with generated pauses and failures', () => {
    const SEED = 20261204;
    const SCENARIOS = 150;
    const run: fc.Arbitrary<PausedStream> = fc.record(
      {
        pauseBefore: fc.integer({min: 1, max: EVENTS}),
        pauseMs: fc.constantFrom(0, 300, 690, 720, 900, 1400, Infinity),
        resetBefore: fc.integer({min: 1, max: EVENTS}),
      },
      {requiredKeys: ['pauseBefore', 'pauseMs']},
    );
    const scenario = fc.record({
      runs: fc.array(run, {minLength: 3, maxLength: 3}),
      maxAttempts: fc.integer({min: 1, max: 3}),
      budget: fc.constantFrom(0, 1, 100),
    });

    // Guards against ORDER and BUDGET as well, where two runs are beside each other.
    it('gets each event once, and the whole stream if its first run is whole', async () => {
      const scenarios = fc.sample(scenario, {
        seed: SEED,
        numRuns: SCENARIOS,
      });
      await Promise.all(
        scenarios.map(async ({runs, maxAttempts, budget}) => {
          const fixture = new RelayFixture(streamInTurn(EVENTS, runs));
          fixture.budget = budget;
          const route = {...STREAM, maxAttempts};
          const sink = await fixture.serve(route, 6000);
          const text = JSON.stringify({runs, maxAttempts, budget});
          expect(WHOLE.startsWith(sink.body), text).to.equal(true);
          expect(fixture.sent.length, text).to.be.at.most(maxAttempts);
          expect(fixture.sent.length - 1, text).to.be.at.most(budget);
          expect(new Set(fixture.listServers()).size, text).to.equal(
            fixture.sent.length,
          );
          const isFirstWhole =
            runs[0]?.resetBefore === undefined && runs[0]?.pauseMs !== Infinity;
          if (isFirstWhole && fixture.sent.length === 1) {
            expect(sink.body, text).to.equal(WHOLE);
          }
          expect(sink.ended, text).to.equal(sink.body === WHOLE);
        }),
      );
    });
  });
});
