import {expect} from 'chai';
import {got} from 'got';
import {CallResult, TrialSystem} from '../../src/trial/index.js';
import {
  useSystem,
  createCaller,
  engine,
  eventually,
  getHost,
  service,
} from './system_fixture.js';

const KEYS = 40;

describe('entry hosts that die or freeze, as separate processes', () => {
  const system = new TrialSystem({
    hosts: [
      {name: 'tac-entry-1', dataCentre: 'tac-hall'},
      {name: 'tac-entry-2', dataCentre: 'tac-hall'},
      {name: 'pdx-entry-1', dataCentre: 'pdx-hall'},
    ],
    servers: [
      engine('tac-model-1', 'tac-hall'),
      service('tac-bids-1', 'tac-hall', '--service-ms', '30'),
    ],
    settings: {journal: ['lease_ms = 1500', 'watch_ms = 300']},
  });
  useSystem(system);

  /** Books under a key through every host in turn until it is answered. */
  async function book(key: string): Promise<CallResult | undefined> {
    let last: CallResult | undefined;
    for (let attempt = 0; attempt < 9; attempt++) {
      try {
        last = await createCaller(system, attempt % 3).call(
          'bids',
          '/bids',
          {key},
          {'idempotency-key': key, 'sedgefall-timeout-ms': '2500'},
        );
      } catch {
        continue; // The host is dead: the balancer tries the next.
      }
      if (last.status === 201) {
        return last;
      }
    }
    return last;
  }

  async function checkOnce(prefix: string): Promise<void> {
    const url = system.servers[1]?.url ?? '';
    const runs = await got(`${url}/runs`).json<Record<string, number>>();
    const doubled = Object.entries(runs).filter(([, count]) => count > 1);
    expect(doubled).to.deep.equal([]);
    expect(Object.keys(runs).some(key => key.startsWith(prefix))).to.equal(
      true,
    );
  }

  it('run no booking twice when the holder of its book is killed', async () => {
    const bookings = Array.from({length: KEYS}, (_unused, index) =>
      book(`kill-${index}`),
    );
    await getHost(system, 0).process.end('SIGKILL');
    const results = await Promise.all(bookings);
    for (const result of results) {
      // Answered, or honestly unknown; never refused as not run and yet run.
      expect([201, 503, 504]).to.include(result?.status);
    }
    await checkOnce('kill-');
    await system.restartHost(getHost(system, 0));
    await eventually(async () => {
      const result = await book(`after-kill-${Math.random()}`);
      expect(result?.status).to.equal(201);
    });
  }).timeout(90_000);

  it('run no booking twice when the holder freezes past its lease and wakes', async () => {
    const bookings = Array.from({length: KEYS}, (_unused, index) =>
      book(`freeze-${index}`),
    );
    const frozen = getHost(system, 1).process;
    frozen.kill('SIGSTOP');
    const others = Array.from({length: KEYS}, (_unused, index) =>
      createCaller(system, index % 2 === 0 ? 0 : 2).call(
        'bids',
        '/bids',
        {key: `freeze-${index}`},
        {
          'idempotency-key': `freeze-${index}`,
          'sedgefall-timeout-ms': '6000',
        },
      ),
    );
    await Promise.all(others);
    frozen.kill('SIGCONT');
    await Promise.all(bookings);
    await checkOnce('freeze-');
  }).timeout(90_000);
});
