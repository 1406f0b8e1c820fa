import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {RowReplica} from '../../src/replica/index.js';
import {SystemClock} from '../../src/time/index.js';
import {StoreClient} from '../../platform/store_client.js';
import {StoreEra} from '../../platform/store_era.js';
import {StoreFeed} from '../../platform/store_feed.js';
import {FakeStore} from './fakes/fake_store.js';

describe('StoreFeed', () => {
  const clock = new SystemClock();
  let store: FakeStore;
  let address: string;
  let replica: RowReplica;
  let stopped: AbortController;
  let canSkip: boolean;
  let reads: number;

  beforeEach(async () => {
    canSkip = false;
    reads = 0;
    store = new FakeStore();
    address = await store.listen();
    stopped = new AbortController();
    replica = new RowReplica({getSignificantContent: text => text});
    startFeed(replica, () => reads++);
  });

  function startFeed(target: RowReplica, onRead: () => void): void {
    const client = new StoreClient({
      clock,
      era: new StoreEra({log: new SilentLog(), metrics: new Metrics()}),
      getAddress: () => address,
      onTime: () => undefined,
    });
    const log = new SilentLog();
    const feed = new StoreFeed({
      clock,
      log,
      client,
      table: 'servers',
      replica: target,
      random: new SeededRandom(1),
      countReaders: () => 8,
      getMaxWaitMs: () => 1500,
      canSkipRead: () => canSkip,
      onResponse: () => undefined,
      onRead,
    });
    void feed.run(stopped.signal);
  }

  afterEach(() => {
    stopped.abort();
    store.stop();
  });

  async function waitFor(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await clock.sleep(10);
    }
  }

  it('sends no requests while other hosts read, and reads once they do not', async () => {
    await waitFor(() => reads > 0);
    canSkip = true;
    // A request that was sent before still gets its response.
    await clock.sleep(1600);
    const calls = store.calls.length;
    store.put('servers', 'a', {state: 'ready'});
    await clock.sleep(400);
    expect(store.calls.length).to.equal(calls);
    canSkip = false;
    await waitFor(() => replica.getText('a') !== undefined);
  });

  it('receives changes as they occur', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
  });

  it('learns that a server leaves within three seconds, after a connection without a response', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    store.faults.unresponsiveWatches = true;
    const calls = store.calls.length;
    await waitFor(() => store.calls.length > calls);
    store.faults.unresponsiveWatches = false;
    const startMs = clock.monotonicMs();
    store.put('servers', 'a', {state: 'draining'});
    await waitFor(() => replica.getText('a')?.includes('draining') === true);
    expect(clock.monotonicMs() - startMs).to.be.lessThan(3500);
  });

  // Guards against a store that is never read because each call is given up, and repeated
  // at the same store, before its answer comes.
  it('reads a store whose answers take longer than the timeout of a call', async () => {
    store.faults.delayMs = 1300;
    store.put('servers', 'a', {state: 'ready'});
    const endMs = clock.monotonicMs() + 5 * store.faults.delayMs;
    while (clock.monotonicMs() < endMs && reads === 0) {
      await clock.sleep(10);
    }
    expect(reads).to.be.greaterThan(0);
  });

  it('marks a removal in doubt that it cannot confirm yet, so that peers are asked', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    const known = replica.getVersion();
    store.faults.busy = true;
    const calls = store.calls.length;
    await waitFor(() => store.calls.length > calls + 1);
    store.faults.busy = false;
    store.remove('servers', 'a');
    store.put('servers', 'b', {state: 'ready'});
    await waitFor(() => replica.getText('b') !== undefined);
    expect(replica.getText('a')).not.to.equal(undefined);
    expect(replica.getVersion()).to.equal(known);
  });

  it('removes a row reported by a peer that the table lacks, before it reports a reading', async () => {
    stopped.abort();
    stopped = new AbortController();
    store.put('servers', 'b', {state: 'ready'});
    const reported = new RowReplica({getSignificantContent: text => text});
    reported.addSnapshot([{key: 'a', version: 1, text: 'left'}], 1, 'peer');
    const heldWhenRead: boolean[] = [];
    startFeed(reported, () =>
      heldWhenRead.push(reported.getText('a') !== undefined),
    );
    const startMs = clock.monotonicMs();
    await waitFor(() => reported.getText('a') === undefined);
    expect(clock.monotonicMs() - startMs).to.be.lessThan(4500);
    await waitFor(() => heldWhenRead.length > 0);
    expect(heldWhenRead[0]).to.equal(false);
  });

  it('reads the whole table again if the history is no longer kept', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    store.faults.staleWatches = true;
    store.put('servers', 'b', {state: 'ready'});
    store.dropHistory();
    await waitFor(() => replica.getText('b') !== undefined);
  });

  // Guards against DRAIN and CONFIG: a watch names the newest version without all of its
  // changes, and the whole table was read again only 15 s later.
  it('reads the whole table soon if a peer has other rows at the same version', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    await clock.sleep(1100);
    const countWholeReads = () =>
      store.calls.filter(call => call.endsWith('/rows-get')).length;
    const before = countWholeReads();
    replica.markDifferent();
    store.put('servers', 'b', {state: 'ready'});
    const startMs = clock.monotonicMs();
    await waitFor(() => countWholeReads() > before);
    expect(clock.monotonicMs() - startMs).to.be.lessThan(3000);
  });

  it('sends few requests while other hosts read and report, however much changes', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    const calls = store.calls.length;
    const startMs = clock.monotonicMs();
    for (let change = 0; clock.monotonicMs() - startMs < 2000; change++) {
      store.put('servers', 'a', {state: 'ready', change});
      await clock.sleep(40);
    }
    // Without other hosts it would send thirteen requests.
    expect(store.calls.length - calls).to.be.at.most(5);
  });
});
