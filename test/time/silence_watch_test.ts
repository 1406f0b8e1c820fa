import {expect} from 'chai';
import {
  CancelTimer,
  Clock,
  SilenceWatch,
  VirtualClock,
} from '../../src/time/index.js';

const LIMIT_MS = 700;

describe('SilenceWatch', () => {
  let clock: VirtualClock;
  let reports: number;

  beforeEach(() => {
    clock = new VirtualClock();
    reports = 0;
  });

  function createWatch(source: Clock = clock): SilenceWatch {
    return new SilenceWatch(source, LIMIT_MS, () => reports++);
  }

  it('reports a silence once its limit is reached, and again while it goes on', async () => {
    const watch = createWatch();
    await clock.advance(LIMIT_MS - 1);
    expect(watch.isSilent()).to.equal(false);
    await clock.advance(1);
    expect(watch.isSilent()).to.equal(true);
    expect(reports).to.equal(1);
    await clock.advance(250);
    expect(reports).to.equal(2);
    await clock.advance(500);
    expect(reports).to.equal(3);
    watch.stop();
  });

  it('reports none while there is activity', async () => {
    const watch = createWatch();
    for (let turn = 0; turn < 10; turn++) {
      await clock.advance(600);
      watch.touch(LIMIT_MS);
    }
    expect(reports).to.equal(0);
    watch.stop();
  });

  // Guards against a caller that reads slowly and is taken for a silent server.
  it('reports none while it is paused', async () => {
    const watch = createWatch();
    watch.pause();
    await clock.advance(5000);
    expect(reports).to.equal(0);
    watch.touch(LIMIT_MS);
    await clock.advance(LIMIT_MS);
    expect(reports).to.equal(1);
    watch.stop();
  });

  // Guards against a host that was suspended and takes all its servers for silent.
  it('does not count time in which the process stood still', async () => {
    const standstillMs = 3000;
    let addedMs = 0;
    const suspended: Clock = {
      now: () => clock.now(),
      monotonicMs: () => clock.monotonicMs() + addedMs,
      sleep: (ms, signal) => clock.sleep(ms, signal),
      startTimer: (ms, call): CancelTimer => clock.startTimer(ms, call),
    };
    const watch = createWatch(suspended);
    await clock.advance(400);
    addedMs = standstillMs;
    await clock.advance(LIMIT_MS - 401);
    expect(reports).to.equal(0);
    await clock.advance(1);
    expect(reports).to.equal(1);
    watch.stop();
  });
});
