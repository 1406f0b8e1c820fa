import {expect} from 'chai';
import {CancelTimer, Clock, VirtualClock} from '../../src/time/index.js';
import {ReferenceTime} from '../../src/usage/index.js';

/** A clock whose wall-clock time can be stepped. */
class SteppedClock implements Clock {
  stepMs = 0;

  constructor(private readonly clock: VirtualClock) {}

  now(): Date {
    return new Date(this.clock.now().getTime() + this.stepMs);
  }

  monotonicMs(): number {
    return this.clock.monotonicMs();
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.clock.sleep(ms, signal);
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    return this.clock.startTimer(ms, call);
  }
}

describe('ReferenceTime', () => {
  it('is not changed by the wall clock of one host', async () => {
    const clock = new VirtualClock(1_000_000);
    const stepped = new SteppedClock(clock);
    const time = new ReferenceTime(stepped, 'a');
    time.addReading(clock.monotonicMs() + 50, clock.monotonicMs());
    for (const peer of ['b', 'c', 'd']) {
      time.addPeer(peer, 1_000_000 - 50);
    }
    stepped.stepMs = 2000;
    await clock.advance(100);
    expect(time.getMs()).to.equal(1_000_100);
  });

  it('is the wall-clock time before the shared clock is known', () => {
    const clock = new VirtualClock(5000);
    expect(new ReferenceTime(clock, 'a').getMs()).to.equal(5000);
  });
});
