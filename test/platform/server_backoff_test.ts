import {expect} from 'chai';
import {readServerBackoff} from '../../platform/server_backoff.js';

describe('readServerBackoff', () => {
  const read = (...values: readonly string[]) =>
    readServerBackoff(values).unwrapOr(undefined);

  it('parses a decimal number of seconds', () => {
    for (const [text, ms] of [
      ['3', 3000],
      ['0.25', 250],
      [' 2 ', 2000],
      ['0', 0],
      ['1000000000', 1e12],
    ] as const) {
      expect(read(text)).to.equal(ms);
    }
  });

  it('returns the longest of several values', () => {
    expect(read('1', '2.5', '2')).to.equal(2500);
  });

  it('rejects an invalid value and quotes it', () => {
    const date = 'Wed, 21 Oct 2026 07:28:00 GMT';
    const long = '1'.repeat(10_240);
    for (const text of ['', '-1', 'soon', 'NaN', '1e9', '1,5', date, long]) {
      const result = readServerBackoff([text]);
      const fault = result.isErr ? result.error : '';
      expect(fault)
        .to.contain('decimal number of seconds')
        .and.contain(text.slice(0, 20));
      expect(fault.length).to.be.below(150);
    }
    expect(read('2', 'x')).to.equal(undefined);
  });
});
