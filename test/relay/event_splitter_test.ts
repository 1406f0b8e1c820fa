import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter} from '../../src/relay/index.js';

describe('EventSplitter', () => {
  it('returns an event only when it is complete', () => {
    const splitter = new EventSplitter();
    const first = splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect(first.bytes.toString()).to.equal('id: 1\ndata: a\n\n');
    expect(first.lastId).to.equal('1');
    const second = splitter.add(Buffer.from('ta: b\n\n'));
    expect(second.bytes.toString()).to.equal('id: 2\ndata: b\n\n');
    expect(second.lastId).to.equal('2');
  });

  it('accepts line feeds with and without carriage returns', () => {
    const splitter = new EventSplitter();
    const {bytes, lastId} = splitter.add(
      Buffer.from('id: 7\r\ndata: a\r\n\r\nid: 8'),
    );
    expect(bytes.toString()).to.equal('id: 7\r\ndata: a\r\n\r\n');
    expect(lastId).to.equal('7');
  });

  it('returns every byte once, in complete events, however the stream is split into chunks', () => {
    fc.assert(
      fc.property(
        fc.array(fc.string({maxLength: 20}), {minLength: 1, maxLength: 8}),
        fc.array(fc.integer({min: 1, max: 15}), {minLength: 1, maxLength: 40}),
        (texts, chunkLengths) => {
          const events = texts.map(
            (text, index) =>
              `id: ${index}\ndata: ${text.replaceAll(/[\r\n]/g, ' ')}\n\n`,
          );
          const all = Buffer.from(events.join(''));
          const splitter = new EventSplitter();
          const returned: Buffer[] = [];
          let lastId: string | undefined;
          let offset = 0;
          for (let chunk = 0; offset < all.length; chunk++) {
            const length = chunkLengths[chunk % chunkLengths.length] ?? 1;
            const split = splitter.add(all.subarray(offset, offset + length));
            offset += length;
            returned.push(split.bytes);
            lastId = split.lastId ?? lastId;
            if (split.bytes.length > 0) {
              expect(split.bytes.toString().endsWith('\n\n')).to.equal(true);
            }
          }
          expect(Buffer.concat(returned).equals(all)).to.equal(true);
          expect(lastId).to.equal(String(events.length - 1));
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });
});
