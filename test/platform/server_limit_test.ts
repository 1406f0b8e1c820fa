import {expect} from 'chai';
import {readServerLimit} from '../../platform/server_limit.js';

describe('readServerLimit', () => {
  const read = (...values: readonly string[]) =>
    readServerLimit(values).map(limit => limit.unwrapOr(undefined));

  it('parses a decimal number of requests per second', () => {
    for (const [text, limit] of [
      ['2.6', 2.6],
      ['40', 40],
      [' 3 ', 3],
      ['0', 0],
      ['0.000000001', 1e-9],
      ['1000000000', 1e9],
    ] as const) {
      expect(read(text).unwrapOr(undefined)).to.equal(limit);
    }
  });

  it('returns nothing if no value is given', () => {
    expect(read().isOk).to.equal(true);
    expect(read().unwrapOr(1)).to.equal(undefined);
  });

  it('returns the lowest of several values', () => {
    expect(read('4', '2.5').unwrapOr(undefined)).to.equal(2.5);
  });

  it('rejects an invalid value and quotes it', () => {
    const long = '1'.repeat(10_240);
    for (const text of [
      '',
      'many',
      '-1',
      'Infinity',
      'NaN',
      '1e9',
      '1,5',
      long,
    ]) {
      const result = read(text);
      const fault = result.isErr ? result.error : '';
      expect(fault).to.contain('decimal number').and.contain(text.slice(0, 20));
      expect(fault.length).to.be.below(150);
    }
    expect(read('2', 'x').isErr).to.equal(true);
  });
});
