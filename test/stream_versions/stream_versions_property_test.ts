import {expect} from 'chai';
import {StreamVersionsSimulation} from './stream_versions_simulation.js';

describe('streams that callers take up while versions and hosts come and go', () => {
  const SEED_COUNT = 60;
  /** A host first read the servers after another version had replaced the first. */
  const FOUND_SEEDS = [68, 453];
  /** Share of the streams taken up in touch that must go on, as the users' page states it. */
  const MIN_SHARE = 0.5;

  // Guards against ORDER: a host that does not know a stream takes the version that it sees
  // for the one that began it.
  it('never hold events of two versions, and most of them go on', async () => {
    let takenUp = 0;
    let goneOn = 0;
    const seeds = [...Array(SEED_COUNT).keys(), ...FOUND_SEEDS];
    for (const seed of seeds) {
      const outcomes = await new StreamVersionsSimulation(seed).run();
      expect(outcomes.mixed, `seed ${seed}`).to.equal(0);
      takenUp += outcomes.takenUp;
      goneOn += outcomes.goneOn;
    }
    expect(goneOn / takenUp).to.be.at.least(MIN_SHARE);
  }).timeout(60_000);
});
