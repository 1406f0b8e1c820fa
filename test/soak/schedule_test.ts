import {expect} from 'chai';
import {drawSchedule, FaultKind} from './schedule.js';
import {shrinkSchedule} from './shrink_schedule.js';

const LENGTH_MS = 15_000;

describe('soak schedules', () => {
  it('are the same for the same seed', () => {
    expect(drawSchedule(7, 3, LENGTH_MS)).to.deep.equal(
      drawSchedule(7, 3, LENGTH_MS),
    );
    expect(drawSchedule(8, 3, LENGTH_MS).faults).not.to.deep.equal(
      drawSchedule(7, 3, LENGTH_MS).faults,
    );
  });

  it('contain every kind of fault within fifty seeds', () => {
    const kinds = new Set<FaultKind>();
    for (let seed = 0; seed < 50; seed++) {
      for (const {kind} of drawSchedule(seed, 3, LENGTH_MS).faults) {
        kinds.add(kind);
      }
    }
    expect(kinds.size).to.equal(Object.keys(FaultKind).length);
  });

  it('shrink to the faults that cause the failure', async () => {
    const schedule = drawSchedule(7, 3, 60_000);
    const [first, , third] = schedule.faults;
    const shrunk = await shrinkSchedule(
      schedule,
      async ({faults}) =>
        faults.some(fault => fault === first) &&
        faults.some(fault => fault === third),
    );
    expect(shrunk.faults).to.deep.equal([first, third]);
  });
});
