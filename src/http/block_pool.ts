/** Size of a block, in bytes. A body of two short chunks takes one. */
export const BLOCK_BYTES = 8192;
/** Blocks that are allocated at a time: each allocation costs an object of its own. */
const BLOCKS_PER_ALLOCATION = 32;

/**
 * Blocks of memory that bodies are received into, used again and again: buffers that are dropped
 * keep their memory until the next collection of garbage.
 */
export class BlockPool {
  private readonly free: Buffer[] = [];
  private allocatedBytes = 0;

  /** Takes a block; its content is undefined. */
  take(): Buffer {
    if (this.free.length === 0) {
      this.allocate();
    }
    return this.free.pop() as Buffer;
  }

  /** Returns blocks. Nothing else may refer to them any more. */
  giveBack(blocks: readonly Buffer[]): void {
    this.free.push(...blocks);
  }

  /** Returns the bytes of the blocks that are in use. */
  getUsedBytes(): number {
    return this.allocatedBytes - this.free.length * BLOCK_BYTES;
  }

  private allocate(): void {
    const bytes = BLOCKS_PER_ALLOCATION * BLOCK_BYTES;
    const memory = Buffer.allocUnsafeSlow(bytes);
    this.allocatedBytes += bytes;
    for (let offset = 0; offset < bytes; offset += BLOCK_BYTES) {
      this.free.push(memory.subarray(offset, offset + BLOCK_BYTES));
    }
  }
}
