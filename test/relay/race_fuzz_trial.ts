import fc from 'fast-check';
import {Repeat, Route} from '../../src/catalog/index.js';
import {ConnectionOutcome} from '../../src/http/index.js';
import {ExchangeKind} from '../../src/relay/index.js';
import {problems} from '../../src/errors/index.js';
import {streamInTurn} from './paused_stream.js';
import {
  createServer,
  answerInTurn,
  CollectedAnswer,
  createAnswer,
  fail,
  formatEvents,
  hang,
  lose,
  refuse,
  RelayFixture,
} from './relay_fixture.js';
import {FleetState} from '../../src/fleet/index.js';

const EVENTS = 6;
const WHOLE = formatEvents(1, EVENTS).join('');
const SEED = Number(process.env['SEED'] ?? 1);

class Strict extends CollectedAnswer {
  problemsSeen: string[] = [];
  begins = 0;
  ends = 0;
  refusals = 0;
  disconnects = 0;
  pending = 0;
  constructor(private readonly delayMs: number) {
    super();
  }
  get over() {
    return this.ends + this.refusals + this.disconnects > 0;
  }
  override begin(s: number) {
    if (this.begins++ > 0) this.problemsSeen.push('begin twice');
    if (this.over) this.problemsSeen.push('begin after end');
    super.begin(s);
  }
  override async write(b: Uint8Array) {
    if (this.over) this.problemsSeen.push('write after end');
    if (this.pending++ > 0) this.problemsSeen.push('write while writing');
    await super.write(b);
    if (this.delayMs > 0) await new Promise(r => setTimeout(r, this.delayMs));
    this.pending--;
  }
  override end() {
    if (this.over) this.problemsSeen.push('end after end');
    this.ends++;
    super.end();
  }
  override disconnect() {
    if (this.over) this.problemsSeen.push('disconnect after end');
    this.disconnects++;
    super.disconnect();
  }
  override refuse(p: never) {
    if (this.over) this.problemsSeen.push('refuse after end');
    if (this.begins > 0) this.problemsSeen.push('refuse after begin');
    this.refusals++;
    super.refuse(p);
  }
}

const run = fc.record({
  kind: fc.constantFrom(
    'stream',
    'stream',
    'stream',
    'stream',
    'hang',
    'lose',
    'refuse',
    'fail',
    '404',
    'lateRefuse',
    'unsent',
    'late',
  ),
  pauseBefore: fc.integer({min: 1, max: EVENTS + 1}),
  pauseMs: fc.constantFrom(0, 300, 690, 720, 900, 1400, 2000, Infinity),
  resetBefore: fc.option(fc.integer({min: 1, max: EVENTS}), {nil: undefined}),
});
const scenario = fc.record({
  runs: fc.array(run, {minLength: 3, maxLength: 4}),
  repeat: fc.constantFrom(
    Repeat.RESUME,
    Repeat.RESUME,
    Repeat.ANY,
    Repeat.ONCE,
  ),
  streaming: fc.boolean(),
  maxAttempts: fc.integer({min: 1, max: 3}),
  budget: fc.constantFrom(0, 1, 100),
  sinkMs: fc.constantFrom(0, 0, 100, 800),
  unreachableAt: fc.constantFrom(undefined, undefined, 200, 800, 1000, 1300),
  outcome: fc.constantFrom(
    ConnectionOutcome.NO_ANSWER,
    ConnectionOutcome.REFUSED,
    ConnectionOutcome.OPENED,
  ),
  forward: fc.constantFrom('refuse', 'answer', 'hang', 'slow', 'lose'),
  leaveAt: fc.constantFrom(undefined, undefined, 500, 900),
  terminate: fc.boolean(),
  callerLeavesAt: fc.constantFrom(undefined, undefined, undefined, 600, 1500),
});

describe('fuzz', () => {
  it('holds', async () => {
    const rejections: unknown[] = [];
    process.on('unhandledRejection', e => rejections.push(e));
    const counts: Record<string, number> = {};
    const scenarios = fc.sample(scenario, {seed: SEED, numRuns: 1500});
    await Promise.all(
      scenarios.map(async s => {
        let open = 0;
        const sends: string[] = [];
        const exchanges = s.runs.map(r => {
          const base: typeof hang =
            r.kind === 'stream'
              ? streamInTurn(EVENTS, [
                  {
                    pauseBefore: r.pauseBefore,
                    pauseMs: r.pauseMs,
                    ...(r.resetBefore === undefined
                      ? {}
                      : {resetBefore: r.resetBefore}),
                  },
                ])
              : r.kind === 'hang'
                ? (p, sig) => {
                    p.maySend();
                    return hang(p, sig);
                  }
                : r.kind === 'lose'
                  ? lose
                  : r.kind === 'refuse'
                    ? refuse
                    : r.kind === 'fail'
                      ? fail
                      : r.kind === '404'
                        ? async () => createAnswer(404, ['no'])
                        : r.kind === 'unsent'
                          ? (_p, sig) =>
                              new Promise(res =>
                                sig.addEventListener('abort', () =>
                                  res({
                                    kind: ExchangeKind.NOT_RUN,
                                    detail: 'c',
                                    unsent: true,
                                  }),
                                ),
                              )
                          : (p, sig) =>
                              new Promise(res => {
                                p.maySend();
                                sig.addEventListener('abort', () =>
                                  res({
                                    kind: ExchangeKind.LOST,
                                    detail: 'cancelled',
                                  }),
                                );
                                setTimeout(
                                  () =>
                                    res(
                                      r.kind === 'late'
                                        ? createAnswer(
                                            200,
                                            formatEvents(
                                              Number(p.lastEventId ?? 0) + 1,
                                              EVENTS,
                                            ),
                                          )
                                        : {
                                            kind: ExchangeKind.NOT_RUN,
                                            detail: '503',
                                            full: true,
                                          },
                                    ),
                                  r.pauseMs === Infinity ? 1600 : r.pauseMs,
                                );
                              });
          const wrapped: typeof hang = async (p, sig) => {
            open++;
            sends.push(p.server.id);
            let closed = false;
            const close = () => {
              if (!closed) {
                closed = true;
                open--;
              }
            };
            sig.addEventListener('abort', close);
            const res = await base(p, sig);
            if (res.kind !== ExchangeKind.ANSWERED) {
              close();
              return res;
            }
            const body = res.body;
            return {
              ...res,
              body: (async function* () {
                try {
                  yield* body;
                } finally {
                  close();
                }
              })(),
            };
          };
          return wrapped;
        });
        const fixture = new RelayFixture(answerInTurn(...exchanges));
        fixture.budget = s.budget;
        fixture.forward = async (p, sig) => {
          if (s.forward === 'refuse')
            return {
              kind: ExchangeKind.NOT_RUN,
              detail: 'refused',
              unsent: true,
              refusal: problems.serversUnreachable('desk', 1),
            };
          if (s.forward === 'lose')
            return {kind: ExchangeKind.LOST, detail: 'lost'};
          if (s.forward === 'hang') return hang(p as never, sig);
          const events = formatEvents(Number(p.lastEventId ?? 0) + 1, EVENTS);
          if (s.forward === 'answer') return createAnswer(200, events);
          return createAnswer(
            200,
            (async function* () {
              for (const e of events) {
                await new Promise(r => setTimeout(r, 300));
                if (sig.aborted) throw new Error('aborted');
                yield e;
              }
            })(),
          );
        };
        if (s.unreachableAt !== undefined)
          setTimeout(() => {
            fixture.connectionOutcome = s.outcome;
            void fixture.reachability.check(
              'desk',
              s.outcome === ConnectionOutcome.NO_ANSWER,
            );
          }, s.unreachableAt);
        if (s.leaveAt !== undefined)
          setTimeout(() => {
            const id = fixture.listServers()[0];
            if (id !== undefined) {
              if (s.terminate) {
                fixture.fleet.register(
                  {...createServer(id), id: `${id}b`, name: id, startedMs: 5},
                  'test',
                );
              } else
                fixture.fleet.register(
                  {...createServer(id, FleetState.DRAINING), leavesMs: 1000},
                  'test',
                );
            }
          }, s.leaveAt);
        const sink = new Strict(s.sinkMs);
        const caller = new AbortController();
        if (s.callerLeavesAt !== undefined)
          setTimeout(() => caller.abort(), s.callerLeavesAt);
        const DEADLINE = 3000;
        const request = fixture.createRequest(
          {
            streaming: s.streaming,
            repeat: s.repeat,
            maxAttempts: s.maxAttempts,
            timeoutMs: DEADLINE,
          },
          DEADLINE,
        );
        const began = performance.now();
        let done = false;
        const text = () =>
          JSON.stringify(s, (_k, v) => (v === Infinity ? 'inf' : v)) +
          ` sent=${sends.join()} fwd=${fixture.forwarded.length} spent=${fixture.spentRetries} body=${JSON.stringify(sink.body)} status=${sink.status} problem=${sink.problem?.kind} ended=${sink.ended} aborted=${sink.aborted}`;
        const report = (what: string) => {
          counts[what] = (counts[what] ?? 0) + 1;
          if ((counts[what] ?? 0) <= 2) console.log(what, text());
        };
        let threw: unknown;
        const served = fixture.relay.serve(request, sink, caller.signal).then(
          () => {
            done = true;
          },
          e => {
            done = true;
            threw = e;
          },
        );
        await Promise.race([served, new Promise(r => setTimeout(r, 4500))]);
        const took = performance.now() - began;
        if (threw) report(`threw ${threw}`);
        if (!done) report('never ends');
        else if (took > 3600 + s.sinkMs) report('late');
        await new Promise(r => setTimeout(r, 300 + s.sinkMs));
        for (const p of sink.problemsSeen) report(p);
        if (open !== 0) report('open run after end');
        if (fixture.relay.countRuns() !== 0) report('runs left');
        const inFlight = ['s1', 's2', 's3']
          .map(id => fixture.fleet.countInFlight(id))
          .reduce((a, b) => a + b, 0);
        if (inFlight !== 0) report('in flight left');
        if (s.streaming && sink.status === 200 && !WHOLE.startsWith(sink.body))
          report('order');
        if (
          s.streaming &&
          sink.ended &&
          sink.status === 200 &&
          sink.body !== WHOLE
        )
          report('ended short');
        if (fixture.spentRetries > s.budget) report('over budget');
        if (s.repeat === Repeat.ONCE) {
          const ran = s.runs
            .slice(0, sends.length)
            .filter(
              r => !['refuse', 'lateRefuse', 'unsent'].includes(r.kind),
            ).length;
          if (ran > 1) report('once ran twice');
        }
        const ranAll = sends.filter(
          (_x, i) =>
            !['refuse', 'lateRefuse', 'unsent'].includes(
              s.runs[Math.min(i, s.runs.length - 1)]!.kind,
            ),
        ).length;
        const fwdRan = s.forward === 'refuse' ? 0 : fixture.forwarded.length;
        if (ranAll + fwdRan > s.maxAttempts) report('over max attempts');
        if (new Set(sends).size !== sends.length) report('same server twice');
      }),
    );
    console.log({
      SEED,
      counts,
      rejections: rejections.length,
      first: rejections[0],
    });
  });
});
