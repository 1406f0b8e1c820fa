import {expect} from 'chai';
import {Feature, FeatureMode} from '../../src/features/index.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

const ROUTES = 1690;
const BULK = new Map([[Feature.BULK_TRANSFER, FeatureMode.ON]]);

describe('a large configuration', () => {
  let system: TestSystem;
  let first: RunningHost;

  beforeEach(async () => {
    system = new TestSystem();
    await system.start();
    first = await system.startHost('front-1', [], '', {featureModes: BULK});
    await system.waitFor(() => system.isReady(first));
  });

  afterEach(() => system.stop());

  /** Puts a configuration with a prefix that is answered once it is in force. */
  function putLarge(prefix: string): void {
    const routes = Array.from({length: ROUTES}, (_unused, index) =>
      system.createRoute(`/r${index}/`, {}),
    );
    system.putConfig({routes: [...routes, system.createRoute(prefix, {})]});
  }

  async function answers(host: RunningHost, path: string): Promise<boolean> {
    return (await system.call(host, path)).status === 200;
  }

  it('is received from a host by one that starts while the store is unavailable', async () => {
    putLarge('/b/');
    await system.waitFor(() => answers(first, '/b/'));
    system.store.faults.unresponsive = true;
    const second = await system.startHost('front-2', [first.peers], '', {
      featureModes: BULK,
    });
    await system.waitFor(() => answers(second, '/b/'));
    const {body} = await system.get(second.metrics, '/metrics');
    expect(body).to.match(/long_rows_received\{encoding="whole"\} 1$/m);
  });
});
