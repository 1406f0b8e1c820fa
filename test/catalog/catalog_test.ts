import {expect} from 'chai';
import {CatalogStore, Repeat} from '../../src/catalog/index.js';
import {SilentLog} from '../../src/log/index.js';
import {decodeConfig} from '../../platform/config_record.js';

function createText(version: number, prefixes: readonly string[]): string {
  return JSON.stringify({
    version,
    routes: prefixes.map(prefix => ({
      name: prefix,
      host: 'Desk.example',
      prefix,
      kind: 'streaming',
      resumable: prefix === '/a/',
      timeout_ms: 1000,
      service: 's',
      later: 'ignored',
    })),
    services: [{name: 's'}],
    tenants: [{name: 'guild', api_keys: ['k1', 'k2']}],
  });
}

describe('catalog', () => {
  const log = new SilentLog();

  it('finds the longest prefix of a host, ignoring its case and port', () => {
    const store = new CatalogStore(log);
    store.offer(
      decodeConfig(createText(1, ['/a/', '/a/b/'])).unwrapOrElse(mistake => {
        throw new Error(mistake);
      }),
      'test',
    );
    const view = store.getView();
    expect(view?.getRoute('desk.EXAMPLE:80', '/a/b/c?x')?.name).to.equal(
      '/a/b/',
    );
    expect(view?.getRoute('desk.example', '/a/?/a/b/')?.name).to.equal('/a/');
    expect(view?.getRoute('desk.example', '/a')).to.equal(undefined);
    expect(view?.getRoute('other', '/a/')).to.equal(undefined);
    expect(view?.getAccount('k2')?.name).to.equal('guild');
    expect(view?.getAccount('')).to.equal(undefined);
  });

  it('never returns to a lower version', () => {
    const store = new CatalogStore(log);
    for (const version of [5, 3]) {
      decodeConfig(createText(version, ['/a/'])).map(catalog =>
        store.offer(catalog, 'test'),
      );
    }
    expect(store.getVersion()).to.equal(5);
  });

  it('distinguishes resumable requests from those that may run once', () => {
    const catalog = decodeConfig(createText(1, ['/a/', '/b/']));
    const repeats = catalog.map(({routes}) => routes.map(r => r.repeat));
    expect(repeats.unwrapOr([])).to.deep.equal([Repeat.RESUME, Repeat.ONCE]);
  });

  for (const text of ['', '{}', '{"version":"1"}', '[1]']) {
    it(`refuses the record "${text}" with a reason`, () => {
      expect(decodeConfig(text).isErr).to.equal(true);
    });
  }
});
