import {expect} from 'chai';
import {readServerBrittle} from '../../platform/server_brittle.js';

describe('readServerBrittle', () => {
  it('parses a decimal number of rejections per second', () => {
    for (const [text, rejections] of [
      ['4', 4],
      [' 2.5 ', 2.5],
      ['0', 0],
      ['1000000000', 1e9],
    ] as const) {
      expect(readServerBrittle([text]).unwrapOr(-1)).to.equal(rejections);
    }
  });

  it('returns the lowest of several values', () => {
    expect(readServerBrittle(['4', '2']).unwrapOr(-1)).to.equal(2);
  });

  it('rejects an invalid value and quotes it', () => {
    for (const text of ['', 'x', '-1', '1e9', '1'.repeat(10_240)]) {
      const read = readServerBrittle([text]);
      expect(read.isErr).to.equal(true);
      const detail = read.isErr ? read.error : '';
      expect(detail).to.include(`"${text.slice(0, 20)}"`);
      expect(detail.length).to.be.below(200);
    }
  });
});
