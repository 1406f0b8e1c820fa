import {expect} from 'chai';
import {VirtualClock} from '../../src/time/index.js';
import {StoreSteadiness} from '../../platform/store_steadiness.js';

describe('StoreSteadiness', () => {
  let clock: VirtualClock;
  let steadiness: StoreSteadiness;

  beforeEach(() => {
    clock = new VirtualClock();
    steadiness = new StoreSteadiness(clock);
  });

  it('counts from the first answer to a call sent after a failed one', async () => {
    steadiness.addFailure(clock.monotonicMs());
    expect(steadiness.getSteadyForMs()).to.equal(0);
    await clock.advance(500);
    const sentMs = clock.monotonicMs();
    await clock.advance(5);
    steadiness.addAnswer(sentMs);
    await clock.advance(1000);
    expect(steadiness.getSteadyForMs()).to.equal(1000);
  });

  it('takes no answer to an earlier call for the end of trouble', async () => {
    const earlierMs = clock.monotonicMs();
    await clock.advance(100);
    steadiness.addFailure(clock.monotonicMs());
    steadiness.addAnswer(earlierMs);
    expect(steadiness.getSteadyForMs()).to.equal(0);
  });

  it('takes no late failure of an earlier call for new trouble', async () => {
    const hangingMs = clock.monotonicMs();
    await clock.advance(300);
    steadiness.addFailure(clock.monotonicMs());
    await clock.advance(200);
    steadiness.addAnswer(clock.monotonicMs());
    await clock.advance(500);
    steadiness.addFailure(hangingMs);
    expect(steadiness.getSteadyForMs()).to.equal(500);
  });

  it('begins anew with a call that fails after the store was back', async () => {
    steadiness.addFailure(clock.monotonicMs());
    await clock.advance(10);
    steadiness.addAnswer(clock.monotonicMs());
    await clock.advance(10);
    steadiness.addFailure(clock.monotonicMs());
    expect(steadiness.getSteadyForMs()).to.equal(0);
  });
});
