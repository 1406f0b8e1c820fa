import {expect} from 'chai';
import {CatalogStore} from '../../src/catalog/index.js';
import {Fleet, FleetState} from '../../src/fleet/index.js';
import {Log} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {RolloutOrders} from '../../src/rollout/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {
  createCatalogRows,
  createServerRows,
  subscribeCatalog,
  subscribeServers,
} from '../../platform/replicas.js';
import {decodeServer} from '../../platform/server_record.js';

const entry = {
  service: 'desk',
  address: '10.1.64.3:8443',
  zone: 'here',
  version: 'v1',
  slots: 48,
  state: 'ready',
  cold_remaining_ms: 0,
  sequence: 3,
};

describe('decodeServer', () => {
  function decode(changes: object): ReturnType<typeof decodeServer> {
    return decodeServer('i-1', JSON.stringify({...entry, ...changes}));
  }

  it('decodes an entry as servers write it', () => {
    const server = decode({spot: true, leaves_ms: 1500, extra: [1]});
    expect(server.unwrapOr(undefined)).to.deep.equal({
      id: 'i-1',
      name: 'i-1',
      startedMs: 0,
      service: 'desk',
      version: 'v1',
      address: '10.1.64.3:8443',
      dataCentre: 'here',
      slots: 48,
      state: FleetState.READY,
      reclaimable: true,
      leavesMs: 1500,
    });
  });

  it('distinguishes the incarnations of a server', () => {
    const server = decode({born: 1_790_000_000_123});
    expect(server.isOk && server.value.id).to.equal('i-1@1790000000123');
  });

  describe('rejects', () => {
    for (const field of Object.keys(entry)) {
      it(`an entry without ${field}`, () => {
        expect(decode({[field]: undefined}).isErr).to.equal(true);
      });
      it(`an entry whose ${field} is of another type`, () => {
        expect(decode({[field]: ['x']}).isErr).to.equal(true);
      });
    }
    const wrong: readonly object[] = [
      {state: 'warming'},
      {slots: 2.5},
      {slots: 0},
      {sequence: 0.5},
      {born: 12.5},
      {born: '12'},
      {born: null},
      {address: 'server-7'},
      {cold_remaining_ms: -1},
    ];
    for (const changes of wrong) {
      it(`an entry with ${JSON.stringify(changes)}`, () => {
        expect(decode(changes).isErr).to.equal(true);
      });
    }
    it('text that is not JSON, or not an object', () => {
      for (const text of ['', '{"service"', '[]', '7', 'null']) {
        expect(decodeServer('i-1', text).isErr).to.equal(true);
      }
    });
  });
});

describe('subscribeServers', () => {
  let version = 0;

  function createReader() {
    const skipped: string[] = [];
    const log: Log = {
      info: () => undefined,
      warn: (event, fields) => {
        if (event === 'record_skipped') {
          skipped.push(String(fields?.['record']));
        }
      },
      error: () => undefined,
    };
    const fleet = new Fleet({
      clock: new VirtualClock(),
      log,
      random: new SeededRandom(1),
      dataCentre: 'here',
      listPeerLoads: () => [],
    });
    const rows = createServerRows();
    const metrics = new Metrics();
    const readers = {
      log,
      metrics,
      catalog: new CatalogStore(log),
      fleet,
      orders: new RolloutOrders(),
    };
    subscribeCatalog(createCatalogRows(), readers);
    subscribeServers(rows, readers);
    const put = (key: string, text: string | undefined) => {
      version++;
      rows.add({key, version, ...(text === undefined ? {} : {text})}, 'test');
    };
    const list = () => fleet.listServers('desk').map(({id}) => id);
    return {put, list, skipped, metrics};
  }

  it('uses no server whose entry another writer has overwritten', () => {
    const {put, list, skipped, metrics} = createReader();
    put('i-1', JSON.stringify(entry));
    put('i-2', JSON.stringify(entry));
    expect(list()).to.deep.equal(['i-1', 'i-2']);
    put('i-1', '\uFFFD');
    put('i-1', JSON.stringify({...entry, state: 'unheard-of'}));
    expect(list()).to.deep.equal(['i-2']);
    expect(skipped).to.deep.equal(['i-1']);
    expect(metrics.getCount('records_skipped', {table: 'servers'})).to.equal(2);
  });

  it('uses the server again once its own entry is restored', () => {
    const {put, list} = createReader();
    put('i-1', JSON.stringify(entry));
    put('i-1', 'nothing');
    put('i-1', JSON.stringify({...entry, sequence: 9}));
    expect(list()).to.deep.equal(['i-1']);
  });

  it('follows a server from one incarnation to the next', () => {
    const {put, list} = createReader();
    put('i-1', JSON.stringify({...entry, born: 1000, sequence: 40}));
    put('i-1', JSON.stringify({...entry, born: 2000, sequence: 1}));
    put('i-1', JSON.stringify({...entry, born: 1000, sequence: 41}));
    expect(list()).to.deep.equal(['i-1@2000']);
  });
});
