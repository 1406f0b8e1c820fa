import {expect} from 'chai';
import {readHead} from '../../src/forwarding/read_head.js';
import {encodeFrame} from '../../src/peer/index.js';

describe('readHead', () => {
  const MAX_BYTES = 524_288;

  async function* split(
    bytes: Buffer,
    size: number,
  ): AsyncGenerator<Uint8Array> {
    for (let start = 0; start < bytes.length; start += size) {
      yield bytes.subarray(start, start + size);
    }
  }

  it('returns the head and the bytes that arrived with it', async () => {
    const message = Buffer.concat([encodeFrame({a: 1}), Buffer.from('body')]);
    for (let size = 1; size <= message.length; size++) {
      const head = await readHead(split(message, size), MAX_BYTES);
      expect(head?.value).to.deep.equal({a: 1});
      expect('body'.startsWith(String(head?.rest))).to.equal(true);
    }
  });

  it('returns nothing for a head that is too long', async () => {
    const message = encodeFrame('x'.repeat(MAX_BYTES));
    const chunks = split(message, 1000);
    expect(await readHead(chunks, MAX_BYTES)).to.equal(undefined);
  });

  // Guards against a host that blocks its event loop for a sender that is not yet authenticated.
  it('takes time in proportion to the length', async () => {
    const measureMs = async (length: number) => {
      const message = encodeFrame('x'.repeat(length));
      let shortestMs = Infinity;
      for (let count = 0; count < 3; count++) {
        const startMs = performance.now();
        await readHead(split(message, 32), MAX_BYTES);
        shortestMs = Math.min(shortestMs, performance.now() - startMs);
      }
      return shortestMs;
    };
    const growth = 8;
    const shortMs = await measureMs(MAX_BYTES / growth / 2);
    const longMs = await measureMs(MAX_BYTES / 2);
    // The square of the length would give 64 times.
    expect(longMs / shortMs).to.be.below(3 * growth);
  });
});
