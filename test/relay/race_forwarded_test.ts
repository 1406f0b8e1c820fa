import {expect} from 'chai';
import {ConnectionOutcome} from '../../src/http/index.js';
import {ExchangeKind, ExchangeResult} from '../../src/relay/index.js';
import {EVENTS, STREAM, WHOLE} from './paused_stream.js';
import {
  CollectedAnswer,
  createAnswer,
  formatEvents,
  hang,
  RelayFixture,
} from './relay_fixture.js';

describe('a forwarded stream whose server falls silent', () => {
  // Guards against LOST: the second run went to the silent server as well.
  it('goes on at another server than the one that the other host named', async () => {
    const fixture = new RelayFixture(hang);
    fixture.connectionOutcome = ConnectionOutcome.NO_ANSWER;
    await fixture.reachability.check('desk', false);
    fixture.forward = async ({excluded, lastEventId}, signal) => {
      // The other host prefers s1 unless it is excluded.
      const server = excluded.has('s1') ? 's2' : 's1';
      const from = Number(lastEventId ?? 0) + 1;
      const events = server === 's1' ? streamTwo(from, signal) : undefined;
      const answer = createAnswer(200, events ?? formatEvents(from, EVENTS));
      return {...answer, server} as ExchangeResult;
    };
    const sink = await fixture.serve(STREAM, 4000);
    expect(fixture.forwarded).to.have.length(2);
    expect(sink.body).to.equal(WHOLE);
  });
});

describe('a request whose caller has left', () => {
  // Guards against GONE and BUDGET: a run began for a caller that had left.
  it('is not forwarded while its last event is being written', async () => {
    const fixture = new RelayFixture(async (params, signal) => {
      params.maySend();
      return createAnswer(200, streamTwo(1, signal));
    });
    fixture.forward = async () => ({kind: ExchangeKind.LOST, detail: 'lost'});
    const sink = new CollectedAnswer();
    const write = sink.write.bind(sink);
    sink.write = async bytes => {
      await write(bytes);
      await wait(400);
    };
    const caller = new AbortController();
    const request = fixture.createRequest(STREAM, 4000);
    const served = fixture.relay.serve(request, sink, caller.signal);
    await wait(100);
    caller.abort();
    await wait(50);
    fixture.connectionOutcome = ConnectionOutcome.NO_ANSWER;
    await fixture.reachability.check('desk', false);
    await served;
    expect(fixture.forwarded).to.have.length(0);
    expect(fixture.spentRetries).to.equal(0);
  });
});

/** Sends two events, then nothing until the signal is aborted. */
async function* streamTwo(
  from: number,
  signal: AbortSignal,
): AsyncGenerator<string> {
  yield* formatEvents(from, Math.min(EVENTS, from + 1));
  await new Promise((_resolve, reject) => {
    const abort = () => reject(new Error('aborted'));
    if (signal.aborted) {
      abort();
    }
    signal.addEventListener('abort', abort);
  });
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
