import {expect} from 'chai';
import {
  Provisioner,
  OrderOutcome,
  ServerOrder,
  ServiceWork,
} from '../../src/provisioning/index.js';
import {CatalogStore} from '../../src/catalog/index.js';
import {Fleet, FleetState} from '../../src/fleet/index.js';
import {Duty, Lease} from '../../src/lease/index.js';
import {SilentLog} from '../../src/log/index.js';
import {MemoryTableService} from '../../src/table/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const LEASE_MS = 3000;
const CENTRES = ['a', 'b', 'c', 'd'];

describe('Provisioner', () => {
  const log = new SilentLog();
  let clock: VirtualClock;
  let fleet: Fleet;
  let orders: ServerOrder[];
  let work: ServiceWork;
  let stopped: AbortController;

  beforeEach(() => {
    clock = new VirtualClock();
    orders = [];
    work = {prefillPerSecond: 0, running: 0, limited: 0};
    stopped = new AbortController();
    fleet = new Fleet({
      clock,
      log,
      random: new SeededRandom(1),
      dataCentre: 'a',
      listPeerLoads: () => [],
    });
  });

  afterEach(async () => {
    stopped.abort();
    await clock.advance(1000);
  });

  function addServers(dataCentre: string, count: number, reclaimable: boolean) {
    for (let index = 0; index < count; index++) {
      const id = `${dataCentre}-${index}-${reclaimable}`;
      fleet.register(
        {
          id,
          name: id,
          startedMs: 0,
          service: 'desk',
          address: '127.0.0.1:1',
          dataCentre,
          slots: 64,
          state: FleetState.READY,
          reclaimable,
        },
        'test',
      );
    }
  }

  function start(): void {
    const catalog = new CatalogStore(log);
    const prices = new Map(CENTRES.map(name => [name, 1]));
    const scaling = {
      min: 1,
      max: 6,
      bootMs: 4000,
      reclaimablePrice: 0.2,
      prices,
    };
    const service = {name: 'desk', maxConnections: 100, scaling};
    catalog.offer(
      {
        version: 1,
        routes: [],
        services: new Map([['desk', service]]),
        accounts: [],
        limits: {
          headerBytes: 1,
          bodyBytes: 1,
          headerTimeoutMs: 1,
          idleTimeoutMs: 1,
        },
      },
      'test',
    );
    const lease = new Lease({
      table: new MemoryTableService(),
      clock,
      role: 'duties',
      holder: 'h/1',
      durationMs: LEASE_MS,
      marginMs: 1000,
    });
    const duty = new Duty({
      lease,
      clock,
      log,
      renewMs: 1000,
      watchMs: 1000,
      marginMs: 1000,
      quietMs: LEASE_MS,
      competes: () => true,
    });
    const buyer = new Provisioner({
      clock,
      log,
      duty,
      catalog,
      fleet,
      getWork: () => work,
      order: async order => {
        orders.push(order);
        return OrderOutcome.TAKEN;
      },
    });
    void duty.run(stopped.signal);
    void buyer.run(stopped.signal);
  }

  it('replaces the initial on-demand servers with reclaimable ones', async () => {
    for (const dataCentre of CENTRES) {
      addServers(dataCentre, 2, false);
    }
    start();
    await clock.advance(8000);
    expect(orders.map(order => [order.reclaimable, order.count])).to.deep.equal(
      CENTRES.map(() => [true, 2]),
    );
    for (const dataCentre of CENTRES) {
      addServers(dataCentre, 2, true);
    }
    await clock.advance(3000);
    const released = orders.filter(order => !order.reclaimable);
    expect(released.map(order => order.count)).to.deep.equal([0, 0, 0, 0]);
  });

  it('includes servers that are discovered later', async () => {
    addServers('a', 1, false);
    start();
    await clock.advance(4500);
    for (const dataCentre of ['b', 'c', 'd']) {
      addServers(dataCentre, 2, false);
    }
    await clock.advance(2000);
    const reclaimable = new Map(
      orders
        .filter(order => order.reclaimable)
        .map(order => [order.dataCentre, order.count]),
    );
    const ordered = [...reclaimable.values()];
    expect(ordered.reduce((sum, count) => sum + count, 0)).to.equal(7);
  });

  it('orders a replacement for each server that states a rate limit', async () => {
    for (const dataCentre of CENTRES) {
      addServers(dataCentre, 2, true);
    }
    work = {prefillPerSecond: 10_000, running: 1, limited: 0};
    start();
    await clock.advance(12_000);
    orders.splice(0);
    work = {prefillPerSecond: 10_000, running: 1, limited: 3};
    await clock.advance(2000);
    const ordered = orders.filter(({reclaimable}) => reclaimable);
    expect(ordered.map(({count}) => count)).to.deep.equal([3, 3, 3]);
  });

  describe('a duty holder that was killed under load and restarts', () => {
    it('releases no server before it has measured the load', async () => {
      for (const dataCentre of CENTRES) {
        addServers(dataCentre, 1, true);
      }
      work = {prefillPerSecond: 10_000, running: 1, limited: 0};
      start();
      await clock.advance(6500);
      // The other servers are discovered with a delay, and so is the load.
      for (const dataCentre of CENTRES) {
        addServers(dataCentre, 4, true);
      }
      await clock.advance(1000);
      work = {prefillPerSecond: 400_000, running: 9, limited: 0};
      await clock.advance(5000);
      for (const {count} of orders) {
        expect(count).to.be.at.least(3);
      }
    });
  });
});
