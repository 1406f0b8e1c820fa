import {BLOCK_TOKENS, CacheEvent} from '../backend/index.js';

/** Blocks remembered per server. */
const MAX_BLOCKS = 8192;

/**
 * Which prefix blocks a server is believed to have cached.
 *
 * Filled by this host's own dispatches at once, and by the engine's cache
 * events, which come late and with gaps; the oldest belief is dropped first,
 * as the engine itself drops.
 */
export class PrefixIndex {
  private readonly blocks = new Map<number, true>();
  private lastSequence = 0;
  private missed = 0;

  /** Sequence number of the last cache event taken in. */
  getLastSequence(): number {
    return this.lastSequence;
  }

  /** Number of cache events that never came. */
  countMissed(): number {
    return this.missed;
  }

  /** Counts the tokens of a prompt that are believed to be cached. */
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

  /** Notes that a prompt was sent, and so will be cached. */
  addPrompt(blocks: readonly number[]): void {
    for (const block of blocks) {
      this.add(block);
    }
  }

  /** Takes in cache events. */
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
