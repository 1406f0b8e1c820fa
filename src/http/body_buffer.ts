import {BLOCK_BYTES, BlockPool} from './block_pool.js';

/**
 * The bytes of a body that has arrived in part. They are copied: a chunk is an object of several
 * hundred bytes, however short it is.
 */
export class BodyBuffer {
  private readonly blocks: Buffer[] = [];
  private length = 0;

  constructor(private readonly pool: BlockPool) {}

  /** Adds a copy of a chunk. */
  append(chunk: Uint8Array): void {
    let offset = 0;
    while (offset < chunk.length) {
      const used = this.length % BLOCK_BYTES;
      if (used === 0) {
        this.blocks.push(this.pool.take());
      }
      const count = Math.min(BLOCK_BYTES - used, chunk.length - offset);
      this.blocks.at(-1)?.set(chunk.subarray(offset, offset + count), used);
      offset += count;
      this.length += count;
    }
  }

  /** Returns the number of bytes that have been added. */
  getLength(): number {
    return this.length;
  }

  /** Returns a copy of all bytes. */
  copy(): Buffer {
    return Buffer.concat(this.blocks, this.length);
  }

  /** Drops all bytes. */
  clear(): void {
    this.pool.giveBack(this.blocks.splice(0));
    this.length = 0;
  }
}
