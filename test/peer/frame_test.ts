import {expect} from 'chai';
import fc from 'fast-check';
import {encodeFrame, FrameReader} from '../../src/peer/index.js';

const MAX_FRAME_BYTES = 10_000;

describe('FrameReader', () => {
  function readAll(reader: FrameReader): unknown[] {
    const values: unknown[] = [];
    for (;;) {
      const frame = reader.read();
      if (frame.isErr || frame.value === undefined) {
        return values;
      }
      values.push(frame.value.value);
    }
  }

  it('decodes every frame, however the byte stream is split into chunks', () => {
    const values = fc.array(fc.dictionary(fc.string(), fc.string()), {
      maxLength: 5,
    });
    const chunkSizes = fc.array(fc.integer({min: 1, max: 40}), {minLength: 1});
    fc.assert(
      fc.property(values, chunkSizes, (sent, sizes) => {
        const bytes = Buffer.concat(sent.map(value => encodeFrame(value)));
        const reader = new FrameReader(MAX_FRAME_BYTES);
        const received: unknown[] = [];
        let start = 0;
        for (let index = 0; start < bytes.length; index++) {
          const size = sizes[index % sizes.length] ?? 1;
          reader.add(bytes.subarray(start, start + size));
          received.push(...readAll(reader));
          start += size;
        }
        expect(received.map(value => ({...(value as object)}))).to.deep.equal(
          sent.map(value => ({...value})),
        );
      }),
      {seed: 5, numRuns: 200},
    );
  });

  it('refuses a frame over the size limit as soon as its length is read', () => {
    const reader = new FrameReader(MAX_FRAME_BYTES);
    reader.add(Buffer.from([0x7f, 0xff, 0xff, 0xff]));
    const frame = reader.read();
    expect(frame.isErr && frame.error).to.include('exceeds the limit of 10000');
  });

  it('refuses a body that is not CBOR', () => {
    const reader = new FrameReader(MAX_FRAME_BYTES);
    reader.add(Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]));
    expect(reader.read().isErr).to.equal(true);
  });
});
