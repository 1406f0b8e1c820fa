import {expect} from 'chai';
import {Attempts} from '../../src/attempts/index.js';
import {Repeat} from '../../src/catalog/index.js';

describe('Attempts', () => {
  function create(
    repeat: Repeat,
    retries = Number.POSITIVE_INFINITY,
  ): Attempts {
    let left = retries;
    return new Attempts({
      repeat,
      maxRuns: 2,
      maxUnexecuted: 3,
      spendRetry: () => left-- > 0,
    });
  }

  describe('of a request that may run once', () => {
    it('continue while it is certain that no server has run it', () => {
      const attempts = create(Repeat.ONCE);
      expect(attempts.recordFailure('a', false)).to.equal(true);
      expect(attempts.mayHaveRun()).to.equal(false);
      expect([...attempts.excluded]).to.deep.equal(['a']);
    });

    it('end once a server may have run it', () => {
      const attempts = create(Repeat.ONCE);
      expect(attempts.recordFailure('a', true)).to.equal(false);
      expect(attempts.mayHaveRun()).to.equal(true);
      expect(attempts.mayTryAnother(1)).to.equal(false);
    });

    it('end after the maximum number of servers that did not run it', () => {
      const attempts = create(Repeat.ONCE);
      const more = ['a', 'b', 'c', 'd'].map(name =>
        attempts.recordFailure(name, false),
      );
      expect(more).to.deep.equal([true, true, true, false]);
    });
  });

  describe('of a request that may run again', () => {
    for (const repeat of [Repeat.ANY, Repeat.RESUME]) {
      it(`end after the maximum number of runs (${repeat})`, () => {
        const attempts = create(repeat);
        expect(attempts.mayTryAnother(1)).to.equal(true);
        expect(attempts.recordFailure('a', true)).to.equal(true);
        expect(attempts.mayTryAnother(1)).to.equal(false);
        expect(attempts.recordFailure('b', true)).to.equal(false);
      });
    }
  });

  it('take a retry from the budget for every attempt but the first', () => {
    const attempts = create(Repeat.ANY, 1);
    const begun = [attempts.begin(), attempts.begin(), attempts.begin()];
    expect(begun).to.deep.equal([true, true, false]);
    expect(attempts.count()).to.equal(2);
  });
});
