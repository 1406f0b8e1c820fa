import {expect} from 'chai';
import {runSoak} from './run_soak.js';
import {drawSchedule} from './schedule.js';

/**
 * A short soak with one seed. Bounds of time are left to the long one, which is
 * started by hand: a busy machine could break them.
 */
describe('the real programs under faults', () => {
  it('keep what they promise', async () => {
    const schedule = drawSchedule(1, 3, 10_000);
    const {violations, history} = await runSoak(schedule, false);
    expect(violations).to.deep.equal([]);
    expect(history.sendings.length).to.be.greaterThan(0);
  }).timeout(120_000);
});
