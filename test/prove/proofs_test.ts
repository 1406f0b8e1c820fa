import {expect} from 'chai';
import {PROOFS} from '../../src/prove/index.js';

/** Fixed, so that every CI run checks the same schedules. */
const SEED = 4;
const HISTORIES = 60;
const VARIANT_HISTORIES = 3000;

describe('promises, checked by generated histories', function () {
  this.timeout(120_000);

  for (const [name, runProof] of PROOFS) {
    it(`${name} holds, and its broken variant is detected`, async () => {
      const result = await runProof({
        seed: SEED,
        histories: HISTORIES,
        variantHistories: VARIANT_HISTORIES,
      });
      expect(result.violations, result.counterexample).to.equal(0);
      expect(result.variantCaught).to.equal(true);
      expect(result.histories).to.equal(HISTORIES);
    });
  }
});
