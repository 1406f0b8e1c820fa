import {expect} from 'chai';
import {decideAcceptance} from '../../src/host_load/index.js';

describe('decideAcceptance', () => {
  const request = {
    rank: 2,
    targetMs: 200,
    remainingMs: 1000,
    waitedMs: 90,
    isAboveShare: false,
  };

  // A burst of a few requests makes the event loop of a small host late, and is over soon.
  it('accepts requests while the event loop is late, but the processor is not used up', () => {
    const load = {isOverloaded: true, ownDelayMs: 90};
    expect(decideAcceptance({...load, processorShare: 0.5}, request)).to.equal(
      undefined,
    );
    expect(decideAcceptance({...load, processorShare: 0.9}, request)).to.equal(
      'target',
    );
  });
});
