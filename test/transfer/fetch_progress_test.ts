import {expect} from 'chai';
import {VirtualClock} from '../../src/time/index.js';
import {FetchProgress, FetchSource} from '../../src/transfer/index.js';

describe('FetchProgress', () => {
  const TABLE = 'op';
  let clock: VirtualClock;
  let progress: FetchProgress;

  beforeEach(() => {
    clock = new VirtualClock();
    progress = new FetchProgress(clock);
  });

  /** Receives bytes from a peer every 100 ms; returns whether the last ones count. */
  async function receive(times: number): Promise<boolean> {
    for (let time = 0; time < times; time++) {
      progress.addProgress(TABLE, FetchSource.PEER);
      await clock.advance(100);
    }
    return progress.isProgressing(TABLE, FetchSource.PEER);
  }

  it('keeps from the other source only while bytes arrive', async () => {
    expect(progress.isProgressing(TABLE, FetchSource.PEER)).to.equal(false);
    expect(await receive(5)).to.equal(true);
    expect(progress.isProgressing(TABLE, FetchSource.STORE)).to.equal(false);
    await clock.advance(600);
    expect(progress.isProgressing(TABLE, FetchSource.PEER)).to.equal(false);
  });

  it('does not keep from the other source for longer than half of the bound', async () => {
    expect(await receive(20)).to.equal(false);
  });

  it('does not trust a source that sends the beginning again and again', async () => {
    await receive(3);
    progress.end(TABLE, FetchSource.PEER, false);
    expect(await receive(3)).to.equal(false);
    progress.end(TABLE, FetchSource.PEER, true);
    expect(await receive(3)).to.equal(true);
  });
});
