import {BLOCK_TOKENS, CacheEvent} from '../backend/index.js';

/** Maximum number of blocks kept per server. */
const MAX_BLOCKS = 8192;

/**
 * Index of the prefix blocks that a server is assumed to have cached.
 *
 * Blocks are added when this host dispatches a prompt, and from the engine's
 * cache events, which arrive delayed and with gaps. Beyond the maximum, the
 * least recently added block is dropped first, as the engine itself does.
 */
export class PrefixIndex {
  private readonly blocks = new Map<number, true>();
  private lastSequence = 0;
  private missed = 0;

  /** Returns the sequence number of the last applied cache event. */
  getLastSequence(): number {
    return this.lastSequence;
  }

  /**
   * Returns the number of cache events skipped by gaps in the sequence numbers.
   */
  countMissed(): number {
    return this.missed;
  }

  /** Counts the leading tokens of a prompt that are assumed to be cached. */
  countCachedTokens(blocks: readonly number[]): number {
    let count = 0;
    for (const block of blocks) {
      if (!this.blocks.has(block)) {
        break;
      }
      count++;
    }
    return count * BLOCK_TOKENS;
  }

  /**
   * Adds the blocks of a prompt that was sent to the server and will be cached
   * there.
   */
  addPrompt(blocks: readonly number[]): void {
    for (const block of blocks) {
      this.add(block);
    }
  }

  /** Applies cache events; those with an old sequence number are ignored. */
  addEvents(events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.sequence <= this.lastSequence) {
        continue;
      }
      this.missed += event.sequence - this.lastSequence - 1;
      this.lastSequence = event.sequence;
      if (event.kind === 'evicted') {
        this.blocks.delete(event.block);
      } else {
        this.add(event.block);
      }
    }
  }

  private add(block: number): void {
    this.blocks.delete(block);
    this.blocks.set(block, true);
    if (this.blocks.size <= MAX_BLOCKS) {
      return;
    }
    for (const oldest of this.blocks.keys()) {
      this.blocks.delete(oldest);
      return;
    }
  }
}
