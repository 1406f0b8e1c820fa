import {expect} from 'chai';
import {Result} from 'true-myth';
import {Repeat, Route} from '../../src/catalog/index.js';
import {ExchangeKind} from '../../src/relay/index.js';
import {
  CollectedAnswer,
  createAnswer,
  hang,
  RelayFixture,
} from './relay_fixture.js';

const SERVICE = 'desk';
const WORK_MS = 100;
/** More than the 24 slots of the fixture's servers, so that some requests always wait. */
const CALLERS = 40;
const LOAD_MS = 3500;

// Guards against LOST: requests at a silent server never got a slot at another one, since other
// requests that came later were always waiting for one.
describe('requests at a silent brittle server of a loaded service', () => {
  it('are answered by other servers', async () => {
    const silent = new Set<string>();
    const fixture = new RelayFixture(async (params, signal) => {
      params.maySend();
      if (params.server.id === 's1') {
        silent.add(params.request.id);
        return hang(params, signal);
      }
      await fixture.clock.sleep(WORK_MS);
      return createAnswer(200, ['whole']);
    });
    fixture.brittle.addAnswer({
      service: SERVICE,
      server: 's2',
      stated: Result.ok(4),
      isSuccess: true,
      sentMs: fixture.clock.monotonicMs(),
    });
    fixture.budget = 1000;
    fixture.forward = async () => ({
      kind: ExchangeKind.NOT_RUN,
      detail: 'no free slot',
      unsent: true,
    });
    const route: Partial<Route> = {
      repeat: Repeat.ANY,
      maxAttempts: 2,
      timeoutMs: 1000,
      targetMs: 3000,
    };
    const statuses = new Map<string, number>();
    const endMs = performance.now() + LOAD_MS;
    let count = 0;
    async function call(): Promise<void> {
      const id = `r${count++}`;
      const sink = new CollectedAnswer();
      const request = {...fixture.createRequest(route, 3000), id};
      const {signal} = new AbortController();
      await fixture.relay.serve(request, sink, signal);
      statuses.set(id, sink.status);
    }
    await Promise.all(
      Array.from({length: CALLERS}, async () => {
        while (performance.now() < endMs) {
          await call();
        }
      }),
    );
    const failed = [...silent].filter(id => statuses.get(id) !== 200);
    expect(silent.size).to.be.above(0);
    expect(failed, `of ${silent.size}`).to.deep.equal([]);
  });
});
