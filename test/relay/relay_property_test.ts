import {expect} from 'chai';
import fc from 'fast-check';
import {Repeat} from '../../src/catalog/index.js';
import {Exchange, ExchangeKind} from '../../src/relay/index.js';
import {
  CollectedAnswer,
  createAnswer,
  formatEvents,
  RelayFixture,
} from './relay_fixture.js';

const SEED = 20261202;
const RUNS = 300;
/** Events of a whole stream. */
const EVENTS = 6;

/** What a server does with one sending. */
type Conduct =
  | {readonly kind: 'whole'}
  | {readonly kind: 'lost'}
  | {readonly kind: 'not-run'}
  | {readonly kind: 'status'; readonly status: number}
  | {
      /** Breaks off after some events, in the middle of the next or not. */
      readonly kind: 'cut';
      readonly after: number;
      readonly midEvent: boolean;
    };

const conduct: fc.Arbitrary<Conduct> = fc.oneof(
  fc.constant<Conduct>({kind: 'whole'}),
  fc.constant<Conduct>({kind: 'lost'}),
  fc.constant<Conduct>({kind: 'not-run'}),
  fc
    .constantFrom(404, 500, 503)
    .map((status): Conduct => ({kind: 'status', status})),
  fc.record({
    kind: fc.constant<'cut'>('cut'),
    after: fc.integer({min: 0, max: EVENTS - 1}),
    midEvent: fc.boolean(),
  }),
);

/** One history: a kind of request, and what servers do in turn. */
interface History {
  readonly repeat: Repeat;
  readonly streaming: boolean;
  readonly maxAttempts: number;
  readonly budget: number;
  readonly conducts: readonly Conduct[];
}

const history: fc.Arbitrary<History> = fc.record({
  repeat: fc.constantFrom(...Object.values(Repeat)),
  streaming: fc.boolean(),
  maxAttempts: fc.integer({min: 1, max: 3}),
  budget: fc.constantFrom(0, 1, 100),
  conducts: fc.array(conduct, {minLength: 8, maxLength: 8}),
});

/** Performs conducts in turn, going on after the last event that was sent. */
function perform(conducts: readonly Conduct[]): Exchange {
  let turn = 0;
  return async order => {
    const now = conducts[turn++] ?? {kind: 'lost'};
    const first = Number(order.lastEventId ?? 0) + 1;
    const streaming = order.request.route.streaming;
    switch (now.kind) {
      case 'lost':
        return {kind: ExchangeKind.LOST, detail: 'cut'};
      case 'not-run':
        return {kind: ExchangeKind.NOT_RUN, detail: 'status 503', full: true};
      case 'status':
        return createAnswer(now.status, ['failed']);
      case 'whole':
        return createAnswer(
          200,
          streaming ? formatEvents(first, EVENTS) : ['whole'],
        );
      case 'cut':
        return createAnswer(200, breakOff(now, first, streaming));
    }
  };
}

function* breakOff(
  {after, midEvent}: {readonly after: number; readonly midEvent: boolean},
  first: number,
  streaming: boolean,
): Generator<string> {
  if (streaming) {
    yield* formatEvents(first, after);
  }
  if (midEvent) {
    yield 'id: 9';
  }
  throw new Error('reset');
}

/** Counts the sendings that may have run, of those that were made. */
function countRuns(conducts: readonly Conduct[], sent: number): number {
  return conducts.slice(0, sent).filter(({kind}) => kind !== 'not-run').length;
}

describe('Relay, by generated histories', () => {
  function doTest(
    check: (made: History, sink: CollectedAnswer, sent: number) => void,
  ): Promise<void> {
    return fc.assert(
      fc.asyncProperty(history, async made => {
        const {repeat, streaming, maxAttempts, budget, conducts} = made;
        const fixture = new RelayFixture(perform(conducts));
        // Eight tenths of the slack are spent.
        fixture.budget = budget / 0.8;
        const sink = await fixture.serve({repeat, streaming, maxAttempts});
        check(made, sink, fixture.sent.length);
      }),
      {seed: SEED, numRuns: RUNS},
    );
  }

  it('runs what may run once at most once', () =>
    doTest(({repeat, conducts}, _sink, sent) => {
      if (repeat === Repeat.ONCE) {
        expect(countRuns(conducts, sent)).to.be.at.most(1);
      }
    }));

  it('keeps to the servers allowed and to the retry budget', () =>
    doTest(({maxAttempts, budget, conducts}, _sink, sent) => {
      expect(countRuns(conducts, sent)).to.be.at.most(maxAttempts);
      expect(sent - 1).to.be.at.most(budget);
    }));

  it('says that a request did not run only when none may have run it', () =>
    doTest(({conducts}, sink, sent) => {
      const status = sink.problem?.status ?? 0;
      if (status === 503 || status === 429) {
        expect(countRuns(conducts, sent)).to.equal(0);
      }
    }));

  it('brings every event once and in order, and ends only whole streams', () =>
    doTest(({streaming}, sink) => {
      if (!streaming || sink.status !== 200) {
        return;
      }
      const whole = formatEvents(1, EVENTS).join('');
      expect(whole.startsWith(sink.body)).to.equal(true);
      if (sink.ended) {
        expect(sink.body).to.equal(whole);
      }
    }));

  it('ends every request one way: an answer, a refusal, or broken off', () =>
    doTest((_made, sink) => {
      const ends = [sink.ended, sink.broken, sink.problem !== undefined].filter(
        Boolean,
      );
      expect(ends).to.have.length(1);
    }));
});
