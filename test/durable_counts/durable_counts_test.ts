import {expect} from 'chai';
import {chooseInterval} from '../../src/durable_counts/index.js';
import {StepKind} from '../../src/table/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {FailingTable, INTERVAL_MS, StoredHost} from './stored_host.js';

const HOSTS = 61;
const CENTRES = 4;
const CUSTOMERS = 16;
const ACCOUNT = {
  name: 'guild',
  keys: ['k'],
  rate: {perSecond: 100_000, burst: 50_000, inTokens: true, plainTokens: 1},
};

describe('DurableCounts', () => {
  let clock: VirtualClock;
  let table: FailingTable;
  let hosts: StoredHost[];
  let window: number;

  beforeEach(() => {
    clock = new VirtualClock(1_000_000);
    table = new FailingTable();
    hosts = [];
    window = 200;
  });

  afterEach(async () => {
    hosts.forEach(host => host.stopped.abort());
    await clock.advance(1);
  });

  async function start(origin: string, dataCentre = 'a') {
    const host = new StoredHost(clock, table, origin, dataCentre);
    hosts.push(host);
    await clock.advance(1);
    return host;
  }

  async function kill(host: StoredHost) {
    host.stopped.abort();
    await clock.advance(1);
  }

  // Guards against windows that are lost with the memory of all hosts.
  describe('when all hosts are killed', () => {
    it('a new host knows the counts as of the last interval, also of earlier windows', async () => {
      const a = await start('a/1');
      const b = await start('b/1', 'b');
      for (let request = 0; request < 40; request++) {
        a.ledger.add('guild', 0);
        b.ledger.add('guild', 0);
        await clock.advance(200);
      }
      await Promise.all([kill(a), kill(b)]);
      const late = await start('a/2');
      const known = late.sum(window) + late.sum(window + 1);
      expect(late.sum(window)).to.equal(50);
      expect(known).to.be.at.least(80 - (2 * INTERVAL_MS) / 200 - 2);
    });

    it('twice, the counts of the first hosts are still known', async () => {
      for (const origin of ['a/1', 'a/2', 'a/3']) {
        const host = await start(origin);
        host.ledger.add('guild', 0);
        await clock.advance(INTERVAL_MS);
        await kill(host);
      }
      expect((await start('a/4')).sum(window)).to.equal(3);
    });

    it('a customer that has spent its rate gets no new burst', async () => {
      const a = await start('a/1');
      let first = 0;
      for (let step = 0; step < 80; step++) {
        first += a.quota.take(ACCOUNT, 10_000) === 0 ? 1 : 0;
        first += a.quota.take(ACCOUNT, 10_000) === 0 ? 1 : 0;
        await clock.advance(100);
      }
      await kill(a);
      const restored = await start('a/2');
      const unaware = new StoredHost(clock, new FailingTable(), 'a/3');
      hosts.push(unaware);
      const grant = ({quota}: StoredHost) => {
        let units = 0;
        while (quota.take(ACCOUNT, 10_000) === 0) {
          units += 10_000;
        }
        return units;
      };
      expect(first).to.be.greaterThan(80);
      expect(grant(restored)).to.be.lessThan(grant(unaware) / 2);
    });
  });

  describe('while the table is away', () => {
    it('a host serves after a second, and restores the counts later', async () => {
      const a = await start('a/1');
      a.ledger.add('guild', 0);
      await clock.advance(INTERVAL_MS);
      await kill(a);
      table.isAway = true;
      const late = await start('a/2');
      expect(late.counts.mayServe()).to.equal(false);
      await clock.advance(1000);
      expect(late.counts.mayServe()).to.equal(true);
      expect(await late.counts.readCounts()).to.equal(false);
      table.isAway = false;
      await clock.advance(INTERVAL_MS);
      expect(late.sum(window)).to.equal(1);
    });
  });

  it('writes again after the answer to a write was lost', async () => {
    const a = await start('a/1');
    a.ledger.add('guild', 0);
    table.losesAnswers = true;
    await clock.advance(INTERVAL_MS);
    table.losesAnswers = false;
    a.ledger.add('guild', 0);
    await clock.advance(2 * INTERVAL_MS);
    await kill(a);
    expect((await start('a/2')).sum(window)).to.equal(2);
  });

  it('writes what a table lacks that was restored from a copy', async () => {
    const a = await start('a/1');
    const copy = table.takeCopy();
    a.ledger.add('guild', 0);
    await clock.advance(INTERVAL_MS);
    table.restore(copy);
    await clock.advance(2 * INTERVAL_MS);
    await kill(a);
    expect((await start('a/2')).sum(window)).to.equal(1);
  });

  // Guards against two writers that replace each other's counts, or add them up twice.
  it('keeps the counts of both aggregators of a data centre', async () => {
    const a = await start('a/1');
    const b = await start('b/1');
    a.ledger.add('guild', 0);
    b.ledger.add('guild', 0);
    await clock.advance(4 * INTERVAL_MS);
    await Promise.all([kill(a), kill(b)]);
    expect((await start('c/1')).sum(window)).to.equal(2);
  });

  it('skips rows that are not valid, and reads the others', async () => {
    const a = await start('a/1');
    a.ledger.add('guild', 0);
    await clock.advance(INTERVAL_MS);
    const usage = [['x/1', [[window, [[7, 1]]]]]];
    const values = [null, {usage: 1}, {writtenMs: 0, customers: [], usage}];
    for (const [index, value] of values.entries()) {
      const key = `durable-counts/x${index}`;
      await table.transact([{kind: StepKind.PUT, key, value}]);
    }
    const late = await start('b/1');
    expect(late.sum(window)).to.equal(1);
    const skipped = late.metrics.getCount('durable_counts_invalid_rows');
    expect(skipped).to.equal(3);
  });

  // The load of 61 hosts in 4 data centres, whose customers send 418 requests a second.
  it('stays within the limits of a row and of calls at 61 hosts', async () => {
    const intervalMs = chooseInterval(HOSTS, CENTRES);
    const writers = Array.from({length: CENTRES}, (_value, index) => {
      const centre = `dc-${index}`;
      return new StoredHost(clock, table, `w-${centre}/1`, centre, intervalMs);
    });
    hosts.push(...writers);
    for (let step = 0; step < 200; step++) {
      for (const [index, {hostUsage, quota}] of writers.entries()) {
        for (let host = index; host < HOSTS; host += CENTRES) {
          const counts = Object.fromEntries(
            Array.from({length: CUSTOMERS}, (_value, customer) => [
              `customer-${customer}`,
              (step % 50) + 1,
            ]),
          );
          const current = window + Math.floor(step / 50);
          hostUsage.add(`front-${host}/0123456789abcdef`, [
            {window: current, counts},
          ]);
        }
        for (let customer = 0; customer < CUSTOMERS; customer++) {
          const name = `customer-${customer}`;
          quota.take({...ACCOUNT, name}, 500);
        }
      }
      await clock.advance(100);
    }
    const perHostAndSecond = table.calls / HOSTS / 20;
    expect(table.maxBytes).to.be.lessThan(65_536 / 4);
    expect(perHostAndSecond).to.be.lessThan(0.11);
  });

  it('keeps a row below the limit of the table with 400 incarnations of hosts', async () => {
    const a = await start('a/1');
    for (let host = 0; host < 400; host++) {
      const counts = Object.fromEntries(
        Array.from({length: CUSTOMERS}, (_value, n) => [`customer-${n}`, 1000]),
      );
      const usages = [window - 1, window].map(open => ({window: open, counts}));
      a.hostUsage.add(`front-${host}/0123456789abcdef`, usages);
    }
    a.ledger.add('guild', 0);
    await clock.advance(INTERVAL_MS);
    expect(table.maxBytes).to.be.within(50_000, 65_536);
    expect((await start('b/1')).sum(window)).to.equal(1);
  });
});
