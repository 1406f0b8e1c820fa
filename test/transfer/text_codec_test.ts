import {deflateSync} from 'node:zlib';
import {expect} from 'chai';
import fc from 'fast-check';
import {ZLIB_COMPRESSION} from '../../src/transfer/compression.js';
import {MAX_TEXT_BYTES} from '../../src/transfer/limits.js';
import {
  hashLongText,
  RetainedTexts,
} from '../../src/transfer/retained_texts.js';
import {decodeText} from '../../src/transfer/text_codec.js';
import {
  applyDifference,
  createDifference,
} from '../../src/transfer/text_difference.js';
import {VirtualClock} from '../../src/time/index.js';

describe('text difference', () => {
  const text = fc
    .array(
      fc.constantFrom('{"a":1}', `{"name":"${'long '.repeat(20)}"}`, '}', 'é'),
    )
    .map(pieces => pieces.join(','));

  it('gives the text again, whatever the base', () => {
    fc.assert(
      fc.property(text, text, (base, changed) => {
        const parts = createDifference(base, changed);
        expect(applyDifference(base, parts, 10_000)).to.equal(changed);
      }),
    );
  });

  it('is short if few objects are changed, added or removed', () => {
    const list = Array.from({length: 5000}, (_unused, index) =>
      JSON.stringify({name: `r-${index}`, path: `/v1/${index}/`, rank: 1}),
    );
    const base = list.join(',');
    list[100] = '{"name":"other","path":"/v2/","rank":2}';
    list.splice(1000, 50);
    list.splice(3000, 0, '{"name":"new"}');
    const changed = list.join(',');
    const parts = createDifference(base, changed);
    expect(applyDifference(base, parts, 1_000_000)).to.equal(changed);
    expect(JSON.stringify(parts).length).to.be.lessThan(400);
  });

  it('is refused if it is no range of the base, or its text is too long', () => {
    expect(applyDifference('base', [[2, 3]], 100)).to.equal(undefined);
    expect(applyDifference('base', [[0, 4], 'x'], 4)).to.equal(undefined);
  });
});

describe('decodeText', () => {
  const decode = (content: Uint8Array, hash: string, base?: string) =>
    decodeText(ZLIB_COMPRESSION, content, hash, base);

  it('refuses a small content that would use up the memory', async () => {
    const bomb = '0'.repeat(MAX_TEXT_BYTES + 1);
    const content = deflateSync(Buffer.from(bomb));
    expect(await decode(content, hashLongText(bomb))).to.equal(undefined);
    const base = '0'.repeat(1_000_000);
    const parts = Array.from({length: 9}, () => [0, base.length]);
    const difference = deflateSync(Buffer.from(JSON.stringify(parts)));
    const hash = hashLongText(base.repeat(9));
    expect(await decode(difference, hash, base)).to.equal(undefined);
  });

  it('refuses a content that is cut off or of another text', async () => {
    const content = deflateSync(Buffer.from('text'));
    expect(await decode(content, hashLongText('text'))).to.equal('text');
    expect(await decode(content, hashLongText('other'))).to.equal(undefined);
    const cut = content.subarray(0, content.length - 5);
    expect(await decode(cut, hashLongText('text'))).to.equal(undefined);
  });
});

describe('RetainedTexts', () => {
  const length = 4_000_000;

  it('drops the oldest texts beyond the limit of memory', () => {
    const texts = new RetainedTexts(new VirtualClock());
    const hashes = ['a', 'b', 'c', 'd'].map(letter =>
      texts.add(letter, letter.repeat(length)),
    );
    expect(texts.find('a', hashes[0] ?? '')).to.equal(undefined);
    expect(texts.find('d', hashes[3] ?? '')?.length).to.equal(length);
  });

  it('keeps an old version for a time after it was replaced', async () => {
    const clock = new VirtualClock();
    const texts = new RetainedTexts(clock);
    const hash = texts.add('row', 'first');
    await clock.advance(3_600_000);
    texts.add('row', 'second');
    expect(texts.find('row', hash)).to.equal('first');
    await clock.advance(61_000);
    texts.add('row', 'third');
    expect(texts.find('row', hash)).to.equal(undefined);
  });
});
