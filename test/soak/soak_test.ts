import {expect} from 'chai';
import {runSoak} from './run_soak.js';
import {drawSchedule} from './schedule.js';

/**
 * A short soak with one seed. Checks with time bounds are left to the long soak, which is
 * started manually: a busy machine could exceed these bounds.
 */
describe('the real programs under injected faults', () => {
  it('keep their guarantees', async () => {
    const schedule = drawSchedule(1, 3, 10_000);
    const {violations, history} = await runSoak(schedule, false);
    expect(violations).to.deep.equal([]);
    expect(history.sendings.length).to.be.greaterThan(0);
  }).timeout(120_000);
});
