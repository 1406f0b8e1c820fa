import {expect} from 'chai';
import {countCallerDescriptors} from '../../src/http/index.js';

/** Guards against callers that take the descriptors for servers, the store and other hosts. */
describe('countCallerDescriptors', () => {
  it('leaves half of what is not reserved to other connections', () => {
    expect(countCallerDescriptors(4100)).to.equal(1950);
    expect(countCallerDescriptors(600)).to.equal(200);
  });

  it('takes the usual limit where none is stated', () => {
    expect(countCallerDescriptors()).to.equal(412);
  });

  it('returns 0 if all are reserved', () => {
    expect(countCallerDescriptors(100)).to.equal(0);
  });
});
