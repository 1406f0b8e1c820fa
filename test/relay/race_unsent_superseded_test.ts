import {expect} from 'chai';
import {ExchangeKind} from '../../src/relay/index.js';
import {EVENTS, STEADY, STREAM, WHOLE, streamInTurn} from './paused_stream.js';
import {answerInTurn, hang, RelayFixture} from './relay_fixture.js';

// Guards against LOST: a run of which no byte was sent used up an attempt of the route.
describe('a run beside a silent one that was not sent yet', () => {
  /** Waits for a connection until it is aborted; nothing is sent. */
  const connect: typeof hang = (_params, signal) =>
    new Promise(resolve => {
      signal.addEventListener('abort', () =>
        resolve({
          kind: ExchangeKind.NOT_RUN,
          detail: 'cancelled',
          unsent: true,
        }),
      );
    });

  it('is no attempt once the first run goes on', async () => {
    const stream = streamInTurn(EVENTS, [
      {pauseBefore: 3, pauseMs: 800, resetBefore: 5},
      STEADY,
    ]);
    const fixture = new RelayFixture(answerInTurn(stream, connect, stream));
    const sink = await fixture.serve(STREAM, 4000);
    expect(fixture.sent).to.have.length(3);
    expect(sink.body).to.equal(WHOLE);
  });
});
