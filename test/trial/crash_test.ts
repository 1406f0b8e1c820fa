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

describe('entry hosts that are killed or suspended, as separate processes', () => {
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

  /** Sends a booking with a key to the hosts in turn, up to 9 times, until the status is 201. */
  async function bookUntilAnswered(
    key: string,
  ): Promise<CallResult | undefined> {
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
        continue; // The host is down: try the next one, as a load balancer does.
      }
      if (last.status === 201) {
        return last;
      }
    }
    return last;
  }

  async function expectNoKeyRanTwice(prefix: string): Promise<void> {
    const url = system.servers[1]?.url ?? '';
    const runs = await got(`${url}/runs`).json<Record<string, number>>();
    const ranTwice = Object.entries(runs).filter(([, count]) => count > 1);
    expect(ranTwice).to.deep.equal([]);
    expect(Object.keys(runs).some(key => key.startsWith(prefix))).to.equal(
      true,
    );
  }

  it('run no booking twice when the host that holds its book is killed', async () => {
    const bookings = Array.from({length: KEYS}, (_unused, index) =>
      bookUntilAnswered(`kill-${index}`),
    );
    await getHost(system, 0).process.terminate('SIGKILL');
    const results = await Promise.all(bookings);
    for (const result of results) {
      // Answered, or reported as unknown; a booking that ran is never refused as not run.
      expect([201, 503, 504]).to.include(result?.status);
    }
    await expectNoKeyRanTwice('kill-');
    await system.restartHost(getHost(system, 0));
    await eventually(async () => {
      const result = await bookUntilAnswered(`after-kill-${Math.random()}`);
      expect(result?.status).to.equal(201);
    });
  }).timeout(90_000);

  it('run no booking twice when the holder is suspended past its lease and resumed', async () => {
    const bookings = Array.from({length: KEYS}, (_unused, index) =>
      bookUntilAnswered(`freeze-${index}`),
    );
    const suspended = getHost(system, 1).process;
    suspended.kill('SIGSTOP');
    const retries = Array.from({length: KEYS}, (_unused, index) =>
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
    await Promise.all(retries);
    suspended.kill('SIGCONT');
    await Promise.all(bookings);
    await expectNoKeyRanTwice('freeze-');
  }).timeout(90_000);
});
