import {expect} from 'chai';
import {Repeat, Route} from '../../src/catalog/index.js';
import {streamInTurn} from './paused_stream.js';
import {
  answerInTurn,
  CollectedAnswer,
  hang,
  RelayFixture,
} from './relay_fixture.js';

// Guards against MIXED and GONE: a run went on relaying after its request had ended in an error.
describe('a run beside one that throws', () => {
  it('is closed with the request, or goes on', async () => {
    const route: Partial<Route> = {
      streaming: true,
      repeat: Repeat.RESUME,
      maxAttempts: 2,
    };
    const aborted: number[] = [];
    const throwing: typeof hang = async () => {
      throw new Error('fault of the program');
    };
    const first = streamInTurn(6, [{pauseBefore: 3, pauseMs: 1000}], run =>
      aborted.push(run),
    );
    const fixture = new RelayFixture(answerInTurn(first, throwing));
    const sink = new CollectedAnswer();
    const request = fixture.createRequest(route, 4000);
    const {signal} = new AbortController();
    let failed = false;
    await fixture.relay.serve(request, sink, signal).catch(() => {
      failed = true;
    });
    const {body} = sink;
    await new Promise(resolve => setTimeout(resolve, 600));
    expect(sink.body, `failed: ${failed}`).to.equal(body);
  });
});
