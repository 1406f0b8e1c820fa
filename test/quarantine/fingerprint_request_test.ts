import {expect} from 'chai';
import {fingerprintRequest} from '../../src/quarantine/index.js';

const content = {
  method: 'POST',
  path: '/desk/x?y=1',
  caller: 'guild',
  body: Buffer.from('body'),
};

describe('fingerprintRequest', () => {
  it('is the same for the same request', () => {
    const again = {...content, body: Buffer.from('body')};
    expect(fingerprintRequest(again)).to.equal(fingerprintRequest(content));
  });

  const others: Record<string, Partial<typeof content>> = {
    method: {method: 'PUT'},
    path: {path: '/desk/x?y=2'},
    caller: {caller: 'guild2'},
    body: {body: Buffer.from('bodY')},
  };
  for (const [name, other] of Object.entries(others)) {
    it(`differs for another ${name}`, () => {
      expect(fingerprintRequest({...content, ...other})).not.to.equal(
        fingerprintRequest(content),
      );
    });
  }

  it('depends on where one part ends and the next begins', () => {
    const moved = {...content, path: '/desk/x?y=1\nguild', caller: ''};
    expect(fingerprintRequest(moved)).not.to.equal(fingerprintRequest(content));
  });
});
