import {expect} from 'chai';
import {findByRendezvous, rankByRendezvous} from '../../src/random/index.js';

describe('findByRendezvous', () => {
  it('returns the name that rankByRendezvous ranks first, for 0 to 49 names', () => {
    for (let count = 0; count < 50; count++) {
      const names = Array.from({length: count}, (_unused, at) => `s${at * 7}`);
      const key = `part-${count}`;
      expect(findByRendezvous(key, names)).to.equal(
        rankByRendezvous(key, names)[0],
      );
    }
  });
});
