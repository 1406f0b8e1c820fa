import {expect} from 'chai';
import {Repeat, Route} from '../../src/catalog/index.js';
import {ExchangeKind} from '../../src/relay/index.js';
import {answer, answerInTurn, hang, RelayFixture} from './relay_fixture.js';

// Guards against LOST: a run beside a silent one was not watched, though its route allows
// another one once the first was rejected.
describe('a run beside one that is rejected late', () => {
  it('is replaced if its server is silent as well', async () => {
    const rejectLate: typeof hang = (_params, signal) =>
      new Promise(resolve => {
        signal.addEventListener('abort', () =>
          resolve({kind: ExchangeKind.LOST, detail: 'cancelled'}),
        );
        setTimeout(
          () =>
            resolve({
              kind: ExchangeKind.NOT_RUN,
              detail: 'status 503',
              full: true,
            }),
          700,
        );
      });
    const fixture = new RelayFixture(answerInTurn(rejectLate, hang, answer));
    const route: Partial<Route> = {
      repeat: Repeat.ANY,
      maxAttempts: 2,
      timeoutMs: 1000,
    };
    const sink = await fixture.serve(route, 3000);
    expect(sink.body).to.equal('whole');
  });
});
