import {expect} from 'chai';
import fc from 'fast-check';
import {Framing} from '../../src/answer/index.js';
import {Repeat} from '../../src/catalog/index.js';
import {Exchange} from '../../src/relay/index.js';
import {createAnswer, RelayFixture} from './relay_fixture.js';

const SEED = 20261203;
const RUNS = 500;
const EVENTS = 5;

/** How a server answers one attempt. */
interface GeneratedAnswer {
  readonly framing: Framing;
  /** Share of the bytes that are sent. */
  readonly sentShare: number;
  /** Whether the end of the body arrives as marked, and not a reset or an early close. */
  readonly hasMarkedEnd: boolean;
  /** Whether the server ignores the id after which it is to continue. */
  readonly startsOver: boolean;
  /** Lengths of the pieces in which the bytes arrive, repeated. */
  readonly pieces: readonly number[];
}

/** A request, its stream, and how servers answer its attempts in turn. */
interface Scenario {
  readonly repeat: Repeat;
  readonly maxAttempts: number;
  readonly lineEnd: string;
  readonly answers: readonly GeneratedAnswer[];
}

const answer: fc.Arbitrary<GeneratedAnswer> = fc.record({
  framing: fc.constantFrom(Framing.LENGTH, Framing.CHUNKS, Framing.CONNECTION),
  sentShare: fc.oneof(fc.constant(1), fc.double({min: 0, max: 1, noNaN: true})),
  hasMarkedEnd: fc.boolean(),
  startsOver: fc.oneof(
    {weight: 4, arbitrary: fc.constant(false)},
    fc.constant(true),
  ),
  pieces: fc.array(fc.integer({min: 1, max: 40}), {minLength: 1, maxLength: 5}),
});

const scenario: fc.Arbitrary<Scenario> = fc.record({
  repeat: fc.constantFrom(Repeat.ONCE, Repeat.RESUME),
  maxAttempts: fc.integer({min: 1, max: 4}),
  lineEnd: fc.constantFrom('\n', '\r\n', '\r'),
  answers: fc.array(answer, {minLength: 4, maxLength: 4}),
});

describe('Relay, with generated ends of streams', () => {
  // Guards against ORDER: a stream that is broken off is ended as complete, ends inside an
  // event, or has events twice, whatever the framing and the servers that continue it.
  it('ends only complete streams, and breaks off others between two events', async () => {
    const counts = {ended: 0, brokenOff: 0, continued: 0};
    await fc.assert(
      fc.asyncProperty(scenario, async generated => {
        const {repeat, maxAttempts, lineEnd} = generated;
        const fixture = new RelayFixture(createExchange(generated));
        const sink = await fixture.serve({
          repeat,
          maxAttempts,
          streaming: true,
        });
        const whole = formatStream(0, lineEnd);
        expect(whole.startsWith(sink.body)).to.equal(true);
        const separator = lineEnd + lineEnd;
        expect(sink.body === '' || sink.body.endsWith(separator)).to.equal(
          true,
        );
        if (sink.ended) {
          expect(sink.body).to.equal(whole);
        }
        const outcomes = [sink.ended, sink.aborted, sink.problem !== undefined];
        expect(outcomes.filter(Boolean)).to.have.length(1);
        if (repeat === Repeat.ONCE) {
          expect(fixture.sent).to.have.length(1);
        }
        const [first] = generated.answers;
        if (
          first !== undefined &&
          first.sentShare === 1 &&
          first.hasMarkedEnd
        ) {
          expect(sink.ended).to.equal(true);
        }
        counts.ended += sink.ended ? 1 : 0;
        counts.brokenOff += sink.aborted ? 1 : 0;
        counts.continued += sink.ended && fixture.sent.length > 1 ? 1 : 0;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    for (const count of Object.values(counts)) {
      expect(count).to.be.greaterThan(RUNS / 20);
    }
  });
});

/** Answers in turn; a server continues the stream after the last event that was relayed. */
function createExchange({answers, lineEnd}: Scenario): Exchange {
  let turn = 0;
  return async ({lastEventId}) => {
    const generated = answers[turn++ % answers.length] as GeneratedAnswer;
    const after = generated.startsOver ? 0 : Number(lastEventId ?? 0);
    const whole = formatStream(after, lineEnd);
    return createAnswer(
      200,
      send(whole, lineEnd, generated),
      generated.framing,
    );
  };
}

function* send(
  whole: string,
  lineEnd: string,
  {sentShare, hasMarkedEnd, pieces}: GeneratedAnswer,
): Generator<string> {
  let rest = whole.slice(0, Math.floor(whole.length * sentShare));
  const isComplete = rest === whole;
  // A server that marks the end between two events ends the stream itself.
  const isBetweenEvents = rest === '' || rest.endsWith(lineEnd + lineEnd);
  const isMarked = hasMarkedEnd && (isComplete || !isBetweenEvents);
  for (let count = 0; rest !== ''; count++) {
    const length = pieces[count % pieces.length] ?? 1;
    yield rest.slice(0, length);
    rest = rest.slice(length);
  }
  if (!isMarked) {
    throw new Error('response ended before its body was complete');
  }
}

function formatStream(after: number, lineEnd: string): string {
  let text = '';
  for (let id = after + 1; id <= EVENTS; id++) {
    text += [`id: ${id}`, `data: token ${id}`, '', ''].join(lineEnd);
  }
  return text;
}
