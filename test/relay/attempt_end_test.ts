import {expect} from 'chai';
import {Repeat} from '../../src/catalog/index.js';
import {AttemptEnd} from '../../src/relay/index.js';
import {
  createAnswer,
  disconnectAfter,
  hang,
  RelayFixture,
} from './relay_fixture.js';

// Guards against logs that do not tell whether server, caller or host ended an answer.
describe('an attempt without a complete answer', () => {
  function countEnds({metrics}: RelayFixture, end: AttemptEnd): number {
    return metrics.getCount('attempts_failed', {end});
  }

  it('is recorded as ended by its server if that broke off', async () => {
    const fixture = new RelayFixture(disconnectAfter(1, 2));
    await fixture.serve({streaming: true, repeat: Repeat.ONCE});
    expect(countEnds(fixture, AttemptEnd.SERVER)).to.equal(1);
  });

  it('is recorded as ended by the deadline', async () => {
    const fixture = new RelayFixture(hang);
    await fixture.serve({streaming: true, repeat: Repeat.ONCE}, 50);
    expect(countEnds(fixture, AttemptEnd.DEADLINE)).to.equal(1);
  });

  it('is recorded as ended by its caller if that left', async () => {
    const fixture = new RelayFixture(hang);
    const caller = new AbortController();
    setTimeout(() => caller.abort(), 20);
    const route = {streaming: true, repeat: Repeat.ONCE};
    await fixture.serve(route, 2000, caller.signal);
    expect(countEnds(fixture, AttemptEnd.CALLER_LEFT)).to.equal(1);
  });

  // Guards against a stream that is read without end, and a server that seems sound then.
  it('is logged and counts as a failure of its server if its event is too long', async () => {
    let closedCount = 0;
    const piece = 'x'.repeat(65_536);
    function* writeEndlessEvent(): Generator<string> {
      try {
        yield 'id: 1\ndata: ';
        for (;;) {
          yield piece;
        }
      } finally {
        closedCount++;
      }
    }
    const fixture = new RelayFixture(async () =>
      createAnswer(200, writeEndlessEvent()),
    );
    const count = 10;
    for (let sent = 0; sent < count; sent++) {
      await fixture.serve({streaming: true, repeat: Repeat.ONCE});
    }
    expect(closedCount).to.equal(count);
    expect(countEnds(fixture, AttemptEnd.SERVER)).to.equal(count);
    const events = fixture.warnings.map(({event, reason}) => ({event, reason}));
    expect(events).to.deep.include({
      event: 'attempt_failed',
      reason: 'event-too-long',
    });
    expect(events.map(({event}) => event)).to.include('server_ejected');
  });
});
