import {expect} from 'chai';
import {PartCache} from '../../src/fleet/index.js';

describe('PartCache', () => {
  const shared = {id: 'a', tokens: 500};
  const own = {id: 'b', tokens: 100};

  it('counts leading parts only', () => {
    const memory = new PartCache(10_000);
    memory.add([own]);
    expect(memory.countCachedTokens([shared, own])).to.equal(0);
    memory.add([shared, own]);
    expect(memory.countCachedTokens([shared, own])).to.equal(600);
  });

  it('drops the least recently used part first', () => {
    const memory = new PartCache(1000);
    memory.add([shared]);
    memory.add([{id: 'c', tokens: 400}]);
    memory.add([shared]);
    memory.add([{id: 'd', tokens: 400}]);
    expect(memory.countCachedTokens([shared])).to.equal(500);
    expect(memory.countCachedTokens([{id: 'c', tokens: 400}])).to.equal(0);
  });
});
