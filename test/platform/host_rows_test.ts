import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {KnownHosts} from '../../src/peering/index.js';
import {MemoryTableService} from '../../src/table/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {HostRows} from '../../platform/host_rows.js';
import {FailingTable} from '../durable_counts/stored_host.js';

const KEY = 'hosts/front-1';
/** Time within which a host checks its row, in milliseconds. */
const CHECK_MS = 10_000;

describe('HostRows', () => {
  // Guards against hosts that no host finds that starts later, since the table has lost
  // their rows.
  it('registers the host again after the table was restored from a copy', async () => {
    const clock = new VirtualClock();
    const table = new MemoryTableService();
    const copy = table.takeCopy();
    const log = new SilentLog();
    const self = {host: 'front-1', dataCentre: 'here', address: '10.0.0.1:1'};
    const known = new KnownHosts({
      clock,
      log,
      self,
      staleMs: 2000,
      expiryMs: 30_000,
    });
    const stopped = new AbortController();
    void new HostRows(table, clock, log, self, known).run(stopped.signal);
    const isRegistered = async () =>
      (await table.get(KEY)).unwrapOr(undefined) !== undefined;
    await clock.advance(100);
    expect(await isRegistered()).to.equal(true);
    table.restore(copy);
    expect(await isRegistered()).to.equal(false);
    await clock.advance(CHECK_MS);
    expect(await isRegistered()).to.equal(true);
    stopped.abort();
    await clock.advance(CHECK_MS);
  });

  // Guards against a host that takes those that it reaches for all, since it has started where
  // it does not reach the table.
  it('tells whether the list of hosts has been read', async () => {
    const clock = new VirtualClock();
    const table = new FailingTable();
    table.isAway = true;
    const log = new SilentLog();
    const self = {host: 'front-1', dataCentre: 'here', address: '10.0.0.1:1'};
    const known = new KnownHosts({
      clock,
      log,
      self,
      staleMs: 2000,
      expiryMs: 30_000,
    });
    const stopped = new AbortController();
    void new HostRows(table, clock, log, self, known).run(stopped.signal);
    await clock.advance(CHECK_MS);
    expect(known.hasReadList()).to.equal(false);
    table.isAway = false;
    await clock.advance(CHECK_MS);
    expect(known.hasReadList()).to.equal(true);
    stopped.abort();
    await clock.advance(CHECK_MS);
  });
});
