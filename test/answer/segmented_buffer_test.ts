import {expect} from 'chai';
import fc from 'fast-check';
import {SegmentedBuffer} from '../../src/answer/segmented_buffer.js';

describe('SegmentedBuffer', () => {
  it('lists the bytes from any position, however they were appended', () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({maxLength: 300}), {maxLength: 12}),
        fc.nat(3000),
        (pieces, position) => {
          const buffer = new SegmentedBuffer();
          for (const piece of pieces) {
            buffer.append(Buffer.from(piece));
          }
          const all = Buffer.concat(pieces);
          const start = Math.min(position, all.length);
          expect(buffer.length).to.equal(all.length);
          expect(Buffer.concat(buffer.list())).to.deep.equal(all);
          expect(Buffer.concat(buffer.list(start))).to.deep.equal(
            all.subarray(start),
          );
          buffer.clear();
          expect(buffer.list()).to.deep.equal([]);
        },
      ),
      {seed: 1, numRuns: 300},
    );
  });

  // Guards against a host that keeps an object for each byte that a server sends alone.
  it('keeps many small pieces in few segments', () => {
    const buffer = new SegmentedBuffer();
    const byte = Buffer.from('x');
    for (let count = 0; count < 1_048_576; count++) {
      buffer.append(byte);
    }
    expect(buffer.list()).to.have.length.below(40);
  });
});
