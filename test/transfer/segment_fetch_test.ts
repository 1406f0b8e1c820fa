import {expect} from 'chai';
import {stat} from 'node:fs/promises';
import {Result} from 'true-myth';
import {SystemClock} from '../../src/time/index.js';
import {SEGMENT_BYTES} from '../../src/transfer/limits.js';
import {SegmentFetch} from '../../src/transfer/segment_fetch.js';

const SEGMENTS = 6;
/** Longer than a sender may be without a reply. */
const PAUSE_MS = 1000;

describe('SegmentFetch', () => {
  // Guards against a transfer that starts over because this process stood still: the replies
  // wait in the kernel, but timers fire before sockets are read.
  it('goes on after a pause of this process', async () => {
    const bytes = SEGMENTS * SEGMENT_BYTES;
    let replies = 0;
    const fetch = new SegmentFetch({
      clock: new SystemClock(),
      content: 'c',
      bytes,
      request: async ({offset}) => {
        // Completes like a reply: when the event loop polls.
        await stat('.');
        const length = Math.min(SEGMENT_BYTES, bytes - offset);
        return Result.ok({data: new Uint8Array(length)});
      },
      onProgress: () => {
        replies++;
        if (replies === 3) {
          setImmediate(pause);
        }
      },
    });
    const content = await fetch.run();
    expect(content.isErr ? content.error : '').to.equal('');
    expect(replies).to.equal(SEGMENTS);
  });

  /** Blocks the event loop. */
  function pause(): void {
    const endMs = performance.now() + PAUSE_MS;
    while (performance.now() < endMs) {
      // Nothing is read meanwhile.
    }
  }
});
