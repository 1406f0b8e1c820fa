import {BLOCK_BYTES} from './block_pool.js';
import {BodyMemory, ReceivingBody} from './body_memory.js';

/**
 * The bytes of a body that has arrived in part. They are copied: a chunk is an object of several
 * hundred bytes, however short it is.
 */
export class BodyBuffer implements ReceivingBody {
  readonly startedMs: number;
  private readonly blocks: Buffer[] = [];
  /** The only chunk of a body that arrives in one; it is not copied. */
  private whole: Buffer | undefined;
  private length = 0;

  /**
   * @param memory - Memory that it takes.
   * @param maxBytes - Longest body that is allowed, in bytes.
   * @param onEvicted - Called when its memory has been given up.
   */
  constructor(
    private readonly memory: BodyMemory,
    private readonly maxBytes: number,
    private readonly onEvicted: () => void,
  ) {
    this.startedMs = memory.getNowMs();
  }

  /**
   * Adds a chunk. The buffer may be evicted by that.
   * @param chunk - The chunk.
   * @param isWhole - Whether it is the whole body; nothing else refers to it then.
   */
  append(chunk: Buffer, isWhole: boolean): void {
    this.memory.addChunk(chunk.length);
    if (this.length === 0) {
      this.memory.add(this);
    }
    if (isWhole) {
      this.whole = chunk;
      this.length = chunk.length;
      this.memory.reserve(chunk.length, this.maxBytes);
      return;
    }
    this.copyIn(chunk);
  }

  /** Returns the number of bytes that have been added. */
  getLength(): number {
    return this.length;
  }

  getHeldBytes(): number {
    return this.whole?.length ?? this.blocks.length * BLOCK_BYTES;
  }

  evict(): void {
    this.clear();
    this.onEvicted();
  }

  /** Returns all bytes in a buffer of their own. */
  copyOut(): Buffer {
    return this.whole ?? Buffer.concat(this.blocks, this.length);
  }

  /** Drops all bytes. */
  clear(): void {
    this.memory.remove(this);
    if (this.whole !== undefined) {
      this.memory.giveBack(this.whole.length);
      this.whole = undefined;
    }
    this.memory.giveBackBlocks(this.blocks.splice(0));
    this.length = 0;
  }

  private copyIn(chunk: Buffer): void {
    let offset = 0;
    while (offset < chunk.length) {
      const used = this.length % BLOCK_BYTES;
      if (used === 0 && !this.addBlock()) {
        return;
      }
      const count = Math.min(BLOCK_BYTES - used, chunk.length - offset);
      this.blocks.at(-1)?.set(chunk.subarray(offset, offset + count), used);
      offset += count;
      this.length += count;
    }
  }

  /** Returns whether the buffer has a further block; not if it was evicted. */
  private addBlock(): boolean {
    this.blocks.push(this.memory.takeBlock());
    this.memory.reserve(BLOCK_BYTES, this.maxBytes);
    return this.blocks.length > 0;
  }
}
