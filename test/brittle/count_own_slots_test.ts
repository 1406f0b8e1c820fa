import {expect} from 'chai';
import fc from 'fast-check';
import {countOwnSlots} from '../../src/brittle/index.js';

const SEED = 20261203;

describe('countOwnSlots', () => {
  // Guards against LIMIT: hosts that together use more slots than a brittle server has, and
  // against slots that no host uses.
  it('assigns each slot to one host, evenly', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 70}), {maxLength: 90}),
        fc.integer({min: 1, max: 350}),
        (slots, hosts) => {
          const servers = slots.map((count, index) => ({
            id: `s${index}`,
            slots: count,
          }));
          const used = new Map<string, number>();
          const totals: number[] = [];
          for (let place = 0; place < hosts; place++) {
            const own = countOwnSlots(servers, {hosts, place});
            let total = 0;
            for (const [id, count] of own) {
              used.set(id, (used.get(id) ?? 0) + count);
              total += count;
            }
            totals.push(total);
          }
          for (const {id, slots: count} of servers) {
            expect(used.get(id)).to.equal(count);
          }
          expect(Math.max(...totals) - Math.min(...totals)).to.be.at.most(1);
        },
      ),
      {seed: SEED, numRuns: 200},
    );
  });

  // Guards against hosts that divide the same slots differently.
  it('does not depend on the order in which servers are known', () => {
    const servers = ['b', 'a', 'c'].map(id => ({id, slots: 3}));
    const position = {hosts: 4, place: 1};
    expect([...countOwnSlots(servers, position)].sort()).to.deep.equal(
      [...countOwnSlots(servers.toReversed(), position)].sort(),
    );
  });
});
