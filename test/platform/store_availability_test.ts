import {expect} from 'chai';
import {VirtualClock} from '../../src/time/index.js';
import {StoreAvailability} from '../../platform/store_availability.js';

describe('StoreAvailability', () => {
  let clock: VirtualClock;
  let availability: StoreAvailability;

  beforeEach(() => {
    clock = new VirtualClock();
    availability = new StoreAvailability(clock);
  });

  it('counts from the first success of a call sent after a failed one', async () => {
    availability.addFailure(clock.monotonicMs());
    expect(availability.getAvailableMs()).to.equal(0);
    await clock.advance(500);
    const sentMs = clock.monotonicMs();
    await clock.advance(5);
    availability.addSuccess(sentMs);
    await clock.advance(1000);
    expect(availability.getAvailableMs()).to.equal(1000);
  });

  it('does not end an outage on the success of an earlier call', async () => {
    const earlierMs = clock.monotonicMs();
    await clock.advance(100);
    availability.addFailure(clock.monotonicMs());
    availability.addSuccess(earlierMs);
    expect(availability.getAvailableMs()).to.equal(0);
  });

  it('does not start an outage on the delayed failure of an earlier call', async () => {
    const hangingMs = clock.monotonicMs();
    await clock.advance(300);
    availability.addFailure(clock.monotonicMs());
    await clock.advance(200);
    availability.addSuccess(clock.monotonicMs());
    await clock.advance(500);
    availability.addFailure(hangingMs);
    expect(availability.getAvailableMs()).to.equal(500);
  });

  it('starts an outage on a call that fails after the store has recovered', async () => {
    availability.addFailure(clock.monotonicMs());
    await clock.advance(10);
    availability.addSuccess(clock.monotonicMs());
    await clock.advance(10);
    availability.addFailure(clock.monotonicMs());
    expect(availability.getAvailableMs()).to.equal(0);
  });
});
