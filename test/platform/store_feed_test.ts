import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {RowReplica} from '../../src/replica/index.js';
import {SystemClock} from '../../src/time/index.js';
import {StoreClient} from '../../platform/store_client.js';
import {StoreFeed} from '../../platform/store_feed.js';
import {StandInStore} from './stand_in/stand_in_store.js';

describe('StoreFeed', () => {
  const clock = new SystemClock();
  let store: StandInStore;
  let address: string;
  let replica: RowReplica;
  let stopped: AbortController;
  let rests: boolean;
  let reads: number;

  beforeEach(async () => {
    rests = false;
    reads = 0;
    store = new StandInStore();
    address = await store.listen();
    stopped = new AbortController();
    replica = new RowReplica({getSubstance: text => text});
    startFeed(replica, () => reads++);
  });

  function startFeed(target: RowReplica, onRead: () => void): void {
    const client = new StoreClient({
      clock,
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
      rests: () => rests,
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

  it('asks nothing while others read, and reads once they do not', async () => {
    await waitFor(() => reads > 0);
    rests = true;
    // What was asked for before is still answered.
    await clock.sleep(1600);
    const calls = store.calls.length;
    store.put('servers', 'a', {state: 'ready'});
    await clock.sleep(400);
    expect(store.calls.length).to.equal(calls);
    rests = false;
    await waitFor(() => replica.getText('a') !== undefined);
  });

  it('hears changes as they come', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
  });

  it('hears a server leave within three seconds of a channel that fell silent', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    store.faults.silentWatches = true;
    const calls = store.calls.length;
    await waitFor(() => store.calls.length > calls);
    store.faults.silentWatches = false;
    const startMs = clock.monotonicMs();
    store.put('servers', 'a', {state: 'draining'});
    await waitFor(() => replica.getText('a')?.includes('draining') === true);
    expect(clock.monotonicMs() - startMs).to.be.lessThan(3500);
  });

  it('has peers asked about a removal that it does not believe yet', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    const known = replica.getNewsVersion();
    store.faults.busy = true;
    const calls = store.calls.length;
    await waitFor(() => store.calls.length > calls + 1);
    store.faults.busy = false;
    store.remove('servers', 'a');
    store.put('servers', 'b', {state: 'ready'});
    await waitFor(() => replica.getText('b') !== undefined);
    expect(replica.getText('a')).not.to.equal(undefined);
    expect(replica.getNewsVersion()).to.equal(known);
  });

  it('removes a row told by a peer that the table lacks, before it reports a reading', async () => {
    stopped.abort();
    stopped = new AbortController();
    store.put('servers', 'b', {state: 'ready'});
    const told = new RowReplica({getSubstance: text => text});
    told.addSnapshot([{key: 'a', version: 1, text: 'left'}], 1, 'peer');
    const heldWhenRead: boolean[] = [];
    startFeed(told, () => heldWhenRead.push(told.getText('a') !== undefined));
    const startMs = clock.monotonicMs();
    await waitFor(() => told.getText('a') === undefined);
    expect(clock.monotonicMs() - startMs).to.be.lessThan(4500);
    await waitFor(() => heldWhenRead.length > 0);
    expect(heldWhenRead[0]).to.equal(false);
  });

  it('reads all again when the history is gone', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    store.faults.deafWatches = true;
    store.put('servers', 'b', {state: 'ready'});
    store.dropHistory();
    await waitFor(() => replica.getText('b') !== undefined);
  });

  it('asks seldom while other hosts read and tell, however much changes', async () => {
    store.put('servers', 'a', {state: 'ready'});
    await waitFor(() => replica.getText('a') !== undefined);
    const calls = store.calls.length;
    const startMs = clock.monotonicMs();
    for (let change = 0; clock.monotonicMs() - startMs < 2000; change++) {
      store.put('servers', 'a', {state: 'ready', change});
      await clock.sleep(40);
    }
    // Alone it would ask thirteen times.
    expect(store.calls.length - calls).to.be.at.most(5);
  });
});
