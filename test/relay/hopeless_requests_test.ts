import {expect} from 'chai';
import {ExecutionStatus} from '../../src/errors/index.js';
import {createAnswer, RelayFixture} from './relay_fixture.js';

const DEADLINE_MS = 60;

/** Keeps the event loop busy, so that no timer fires. */
function block(fixture: RelayFixture, ms: number): void {
  const untilMs = fixture.clock.monotonicMs() + ms;
  while (fixture.clock.monotonicMs() < untilMs) {
    // Waits without yielding.
  }
}

describe('Relay, on a late event loop', () => {
  it('sends nothing after the deadline, though its timer has not fired', async () => {
    const states: boolean[] = [];
    const fixture: RelayFixture = new RelayFixture(async params => {
      states.push(params.maySend());
      block(fixture, DEADLINE_MS + 1);
      states.push(params.maySend());
      return {kind: 'not-run', detail: 'not sent', notAccepting: true};
    });
    const sink = await fixture.serve({}, DEADLINE_MS);
    expect(states).to.deep.equal([true, false]);
    expect(sink.problem).to.include({
      status: 503,
      ran: ExecutionStatus.NOT_EXECUTED,
    });
  });

  it('sends nothing for a caller that has left', async () => {
    const controller = new AbortController();
    const states: boolean[] = [];
    const fixture = new RelayFixture(async params => {
      controller.abort();
      states.push(params.maySend());
      return {kind: 'not-run', detail: 'not sent', notAccepting: true};
    });
    const sink = await fixture.serve({}, DEADLINE_MS, controller.signal);
    expect(states).to.deep.equal([false]);
    expect(sink.aborted).to.equal(true);
  });

  it('states the time that remains at the moment of sending', async () => {
    const remainingMs: number[] = [];
    const fixture: RelayFixture = new RelayFixture(async params => {
      remainingMs.push(params.remainingMs);
      block(fixture, DEADLINE_MS / 2);
      remainingMs.push(params.remainingMs);
      return createAnswer(200, []);
    });
    await fixture.serve({}, DEADLINE_MS);
    const [first = 0, second = 0] = remainingMs;
    expect(first - second).to.be.at.least(DEADLINE_MS / 2);
  });
});
