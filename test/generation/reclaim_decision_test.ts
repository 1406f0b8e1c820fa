import {expect} from 'chai';
import {decideReclaim, ReclaimCase} from '../../src/generation/index.js';

describe('decideReclaim', () => {
  function generation(
    id: string,
    contextTokens: number,
    remainingTokens: number,
    recomputedToken = 1,
  ): ReclaimCase {
    const weights = {recomputedToken, lateSecond: 1};
    return {id, contextTokens, remainingTokens, decodeMs: 20, weights};
  }

  function doTest(
    cases: readonly ReclaimCase[],
    remainingMs: number,
    importSlots = 1,
    hasSurvivor = true,
  ): string[] {
    const decisions = decideReclaim(cases, {
      remainingMs,
      transferRate: 1000,
      importSlots,
      hasSurvivor,
    });
    return decisions.map(decision => `${decision.id}:${decision.action}`);
  }

  it('lets a generation finish that fits the notice', () => {
    expect(doTest([generation('a', 500, 50)], 5000)).to.eql(['a:finish']);
  });

  it('exports the most valuable cache and resumes what no longer fits', () => {
    const cases = [
      generation('cheap', 3000, 1000, 1),
      generation('dear', 3000, 1000, 5),
    ];
    expect(doTest(cases, 5000)).to.eql(['dear:export', 'cheap:resume']);
  });

  it('exports more caches where the survivors can import more at once', () => {
    const cases = [generation('a', 3000, 1000), generation('b', 3000, 1000)];
    expect(doTest(cases, 5000, 2)).to.eql(['a:export', 'b:export']);
  });

  it('leaves all generations in place when no server could continue them', () => {
    const cases = [generation('a', 3000, 1000)];
    expect(doTest(cases, 5000, 1, false)).to.eql(['a:finish']);
  });
});
