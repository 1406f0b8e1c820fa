import {expect} from 'chai';
import {Repeat, Route} from '../../src/catalog/index.js';
import {answer, answerInTurn, hang, RelayFixture} from './relay_fixture.js';

// Guards against LOST: a request stayed at a server that does not respond, since the others
// were at work on one long request each.
describe('a request whose server is silent while the others are at work', () => {
  const whole: Partial<Route> = {
    repeat: Repeat.ANY,
    maxAttempts: 2,
    timeoutMs: 1000,
  };

  it('is sent to one of them', async () => {
    const fixture = new RelayFixture(answerInTurn(hang, answer));
    // One request that takes long, as whole answers of engines do, and is not late.
    for (const id of ['s1', 's2', 's3']) {
      fixture.fleet.trackRequest(id, [], 10_000);
    }
    const sink = await fixture.serve(whole, 3000);
    expect(sink.body).to.equal('whole');
  });
});
