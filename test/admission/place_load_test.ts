import {expect} from 'chai';
import {bursts, flood, PlaceLoad, usualRate} from '../../src/measure/index.js';

const CHAT = 0;
const SUMMARY = 1;
const TAGS = 2;

describe('decidePlace under load', () => {
  for (const seed of [1, 2, 3]) {
    // Guards against chats that are refused because tags with a longer target wait.
    describe(`bursts of tags, then of chats, seed ${seed}`, () => {
      it('refuse tags and summaries in place of chats, and starve neither', () => {
        const load = new PlaceLoad(seed, true);
        load.run(bursts);
        expect(load.getRefused(CHAT)).to.be.lessThan(0.01);
        expect(load.getInTime(CHAT)).to.be.at.least(0.97);
        expect(load.getInTime(SUMMARY)).to.be.at.least(0.7);
        expect(load.getInTime(TAGS)).to.be.at.least(0.35);
      });
    });

    // Guards against a customer that takes the places of the others.
    describe(`a customer at six times its usual rate, seed ${seed}`, () => {
      it('does not make the chats of the others late, and other kinds hardly', () => {
        const usual = new PlaceLoad(seed, true);
        usual.run(usualRate);
        const flooded = new PlaceLoad(seed, true);
        flooded.run(flood);
        const chats = usual.getOthersInTime(CHAT);
        expect(flooded.getOthersInTime(CHAT)).to.be.closeTo(chats, 0.02);
        const all = usual.getOthersInTime();
        expect(flooded.getOthersInTime()).to.be.closeTo(all, 0.08);
      });
    });
  }

  it('is needed: by the wait alone, a third of the chats are refused', () => {
    const load = new PlaceLoad(1, false);
    load.run(bursts);
    expect(load.getRefused(CHAT)).to.be.greaterThan(0.33);
    const flooded = new PlaceLoad(1, false);
    flooded.run(flood);
    expect(flooded.getOthersInTime(CHAT)).to.be.lessThan(0.5);
  });
});
