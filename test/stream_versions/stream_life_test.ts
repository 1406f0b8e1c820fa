import {expect} from 'chai';
import {CatalogStore} from '../../src/catalog/index.js';
import {SilentLog} from '../../src/log/index.js';
import {StreamLife} from '../../src/stream_versions/index.js';
import {createRoute} from '../relay/route_fixture.js';

describe('StreamLife', () => {
  const LIMITS = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  let catalog: CatalogStore;

  beforeEach(() => {
    catalog = new CatalogStore(new SilentLog());
  });

  function offer(version: number, timeoutMs: number): void {
    const routes = [
      createRoute({streaming: true, timeoutMs}),
      createRoute({streaming: false, timeoutMs: 10 * timeoutMs}),
    ];
    catalog.offer(
      {version, routes, services: new Map(), accounts: [], limits: LIMITS},
      'test',
    );
  }

  // Guards against ORDER: streams outlast what a host remembers after a timeout was raised.
  it('follows the longest timeout of a stream in each catalog', () => {
    const life = new StreamLife(catalog);
    expect(life.getMs()).to.equal(20_000);
    offer(1, 30_000);
    expect(life.getMs()).to.equal(60_000);
    offer(2, 12_000);
    expect(life.getMs()).to.equal(24_000);
  });

  it('knows the catalog that is in force when it is created', () => {
    offer(1, 30_000);
    expect(new StreamLife(catalog).getMs()).to.equal(60_000);
  });
});
