import {expect} from 'chai';
import {ConnectionOutcome} from '../../src/http/index.js';
import {ExchangeKind} from '../../src/relay/index.js';
import {EVENTS, STREAM, WHOLE} from './paused_stream.js';
import {
  createAnswer,
  formatEvents,
  hang,
  RelayFixture,
} from './relay_fixture.js';

describe('a host that finds the servers unreachable', () => {
  // Guards against BUDGET: requests of which nothing was sent used up the retries.
  it('takes no retry for a request that was not sent', async () => {
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
    const fixture = new RelayFixture(connect);
    fixture.connectionOutcome = ConnectionOutcome.NO_ANSWER;
    fixture.forward = async () => createAnswer(200, formatEvents(1, EVENTS));
    const sink = await fixture.serve(STREAM, 4000);
    expect(sink.body).to.equal(WHOLE);
    expect(fixture.forwarded).to.have.length(1);
    expect(fixture.spentRetries).to.equal(0);
  });

  // Guards against BUDGET: a request that another host had taken was forwarded again.
  it('does not forward a request again that is forwarded', async () => {
    const fixture = new RelayFixture(hang);
    fixture.connectionOutcome = ConnectionOutcome.NO_ANSWER;
    fixture.forward = async (_params, signal) => {
      async function* events(): AsyncGenerator<string> {
        for (const event of formatEvents(1, EVENTS)) {
          await new Promise(resolve => setTimeout(resolve, 200));
          if (signal.aborted) {
            throw new Error('aborted');
          }
          yield event;
        }
      }
      return createAnswer(200, events());
    };
    // The service is known to be unreachable before the request arrives.
    expect(await fixture.reachability.check('desk', false)).to.equal(true);
    const served = fixture.serve(STREAM, 4000);
    await new Promise(resolve => setTimeout(resolve, 100));
    // It is reachable for a moment, then again not.
    fixture.connectionOutcome = ConnectionOutcome.OPENED;
    await until(() => !fixture.reachability.isUnreachable('desk'));
    fixture.connectionOutcome = ConnectionOutcome.NO_ANSWER;
    await new Promise(resolve => setTimeout(resolve, 160));
    expect(await fixture.reachability.check('desk', false)).to.equal(true);
    const sink = await served;
    expect(sink.body).to.equal(WHOLE);
    expect(fixture.forwarded).to.have.length(1);
    expect(fixture.spentRetries).to.equal(0);
  });
});

async function until(isMet: () => boolean): Promise<void> {
  while (!isMet()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}
