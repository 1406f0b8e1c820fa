import {expect} from 'chai';
import {
  formatMintedKey,
  KeyMint,
  parseMintedKey,
} from '../../src/journal/index.js';

describe('minted keys', () => {
  describe('parseMintedKey', () => {
    it('parses a formatted key', () => {
      const key = {host: 'tac-entry-1', incarnation: 'abc1', sequence: '2z'};
      expect(parseMintedKey(formatMintedKey(key))).to.deep.equal(key);
    });

    it('rejects a text that only starts like a key', () => {
      expect(parseMintedKey('sf1.host')).to.equal(undefined);
    });
  });

  describe('KeyMint', () => {
    it('never mints the same key twice', () => {
      const mint = new KeyMint('h', 'i');
      const keys = new Set(Array.from({length: 1000}, () => mint.mint()));
      expect(keys.size).to.equal(1000);
    });
  });
});
