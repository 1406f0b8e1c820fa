import {expect} from 'chai';
import {BodyBuffer} from '../../src/http/body_buffer.js';
import {BodyMemory} from '../../src/http/index.js';
import {VirtualClock} from '../../src/time/index.js';

const BLOCK_BYTES = 8192;
const RECEIVING_BYTES = 16 * BLOCK_BYTES;
const KEPT_BYTES = 1_000_000;
/** Longest body that counts as small. */
const SMALL_BYTES = 65_536;

/** Guards against bodies that take more memory than their host has, or the wrong ones yielding. */
describe('BodyMemory', () => {
  let clock: VirtualClock;
  let memory: BodyMemory;
  let evicted: string[];

  beforeEach(() => {
    clock = new VirtualClock();
    const limits = {receivingBytes: RECEIVING_BYTES, keptBytes: KEPT_BYTES};
    memory = new BodyMemory(clock, limits);
    evicted = [];
  });

  function open(name: string): BodyBuffer {
    return new BodyBuffer(memory, BLOCK_BYTES, () => evicted.push(name));
  }

  function append(buffer: BodyBuffer, blocks: number): void {
    buffer.append(Buffer.alloc(blocks * BLOCK_BYTES), false);
  }

  describe('for bodies that are not passed on', () => {
    it('evicts the one that has taken most for longest', async () => {
      append(open('old'), 3);
      await clock.advance(1000);
      append(open('large'), 12);
      await clock.advance(100);
      append(open('new'), 2);
      expect(evicted).to.deep.equal(['old']);
      append(open('other'), 4);
      expect(evicted).to.deep.equal(['old', 'large']);
    });

    it('evicts the body that asks if it has taken most', async () => {
      append(open('one'), 2);
      const large = open('large');
      await clock.advance(100);
      for (let block = 0; block < 20; block++) {
        append(large, 1);
      }
      expect(evicted).to.include('large');
      expect(memory.getReceivingBytes()).to.be.at.most(RECEIVING_BYTES);
    });

    it('gives room to a single body of the longest size', () => {
      const maxBytes = 4 * RECEIVING_BYTES;
      const single = new BodyBuffer(memory, maxBytes, () => evicted.push('s'));
      single.append(Buffer.alloc(maxBytes), false);
      expect(evicted).to.deep.equal([]);
      expect(single.copyOut().length).to.equal(maxBytes);
    });

    it('counts nothing of bodies that have ended', () => {
      const buffer = open('one');
      append(buffer, 5);
      buffer.append(Buffer.alloc(10), false);
      buffer.clear();
      const whole = open('whole');
      whole.append(Buffer.alloc(100), true);
      whole.clear();
      expect(memory.getReceivingBytes()).to.equal(0);
    });
  });

  describe('for bodies that are passed on', () => {
    it('leaves a part to small ones', () => {
      expect(memory.keep(KEPT_BYTES * 0.7)).to.equal(true);
      expect(memory.keep(SMALL_BYTES + 1)).to.equal(false);
      expect(memory.keep(SMALL_BYTES)).to.equal(true);
    });

    it('refuses small ones beyond the limit', () => {
      let count = 0;
      while (memory.keep(SMALL_BYTES)) {
        count++;
      }
      expect(count).to.equal(Math.floor(KEPT_BYTES / SMALL_BYTES));
      memory.release(SMALL_BYTES);
      expect(memory.keep(SMALL_BYTES)).to.equal(true);
    });

    it('takes a large one beyond the limit if it is the only one', () => {
      expect(memory.keep(2 * KEPT_BYTES)).to.equal(true);
      // Guards against a host that refuses all others meanwhile.
      expect(memory.keep(0)).to.equal(true);
      expect(memory.keep(SMALL_BYTES)).to.equal(true);
      memory.release(SMALL_BYTES);
      memory.release(2 * KEPT_BYTES);
      expect(memory.getKeptBytes()).to.equal(0);
    });
  });

  it('returns the bytes of a body in their order', () => {
    const buffer = open('one');
    const sent = Buffer.from(
      Array.from({length: 3 * BLOCK_BYTES + 7}, (_, index) => index % 251),
    );
    for (let offset = 0; offset < sent.length; offset += 1000) {
      buffer.append(sent.subarray(offset, offset + 1000), false);
    }
    expect(buffer.copyOut().equals(sent)).to.equal(true);
  });
});
