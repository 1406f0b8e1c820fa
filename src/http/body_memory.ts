import {Clock} from '../time/index.js';
import {BLOCK_BYTES, BlockPool} from './block_pool.js';
import {collectGarbage, Garbage} from './collect_garbage.js';

/** Most bytes that bodies may take. */
export interface BodyMemoryLimits {
  /** Bytes of bodies until they are passed on. */
  readonly receivingBytes: number;
  /** Bytes of bodies that were passed on and are kept until the answer, for a retry. */
  readonly keptBytes: number;
}

/** A body that takes memory until it is passed on, and can be given up. */
export interface ReceivingBody {
  /** When it began to arrive, in monotonic milliseconds. */
  readonly startedMs: number;
  /** Returns the bytes of memory that it takes. */
  getHeldBytes(): number;
  /** Gives up its memory. */
  evict(): void;
}

/** Part of a limit that is made free at a time, so that not every body has to search. */
const FREED_PART = 1 / 16;
/** Longest body that counts as small, in bytes. */
const SMALL_BYTES = 65_536;
/** Part of the memory of kept bodies that those which are not small may take. */
const LARGE_PART = 0.75;
/** Bytes of chunks after which they are collected: each is a buffer that is used once. */
const CHUNK_GARBAGE_BYTES = 2_097_152;

/**
 * Memory of the bodies of all requests of a host. When it is used up, the bodies yield that have
 * taken most of it for longest, of those that are not passed on: a crowd that sends bodies
 * without their end makes room for callers whose small bodies take a moment.
 */
export class BodyMemory {
  private readonly pool = new BlockPool();
  private readonly receiving = new Set<ReceivingBody>();
  private receivingBytes = 0;
  private keptBytes = 0;
  private keptLargeBytes = 0;
  /** Bytes of chunks since garbage was collected. */
  private chunkBytes = 0;
  /** Bytes of large bodies that were released since garbage was collected. */
  private releasedBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: BodyMemoryLimits,
  ) {}

  /** Returns the bytes of bodies that are not passed on. */
  getReceivingBytes(): number {
    return this.receivingBytes;
  }

  /** Returns the bytes of bodies that were passed on. */
  getKeptBytes(): number {
    return this.keptBytes;
  }

  /** Returns the time, in monotonic milliseconds. */
  getNowMs(): number {
    return this.clock.monotonicMs();
  }

  /** Adds a body, so that it can be chosen to yield. */
  add(body: ReceivingBody): void {
    this.receiving.add(body);
  }

  /** Removes a body that no longer takes memory. */
  remove(body: ReceivingBody): void {
    this.receiving.delete(body);
  }

  /**
   * Reserves memory for a body that is not passed on. Others may yield, or the body itself.
   * @param bytes - Bytes it takes in addition.
   * @param maxBytes - Longest body that is allowed; one such body always finds room.
   */
  reserve(bytes: number, maxBytes: number): void {
    this.receivingBytes += bytes;
    const limit = Math.max(this.limits.receivingBytes, maxBytes + BLOCK_BYTES);
    if (this.receivingBytes > limit) {
      this.evictDownTo(limit * (1 - FREED_PART));
    }
  }

  /** Gives back memory of a body that was not passed on. */
  giveBack(bytes: number): void {
    this.receivingBytes -= bytes;
  }

  /** Takes a block, for which memory is reserved. */
  takeBlock(): Buffer {
    return this.pool.take();
  }

  /** Returns blocks. Nothing else may refer to them any more. */
  giveBackBlocks(blocks: readonly Buffer[]): void {
    this.pool.giveBack(blocks);
    this.giveBack(blocks.length * BLOCK_BYTES);
  }

  /** Records that a chunk has arrived, which is garbage once its bytes are copied. */
  addChunk(bytes: number): void {
    this.chunkBytes += bytes;
    if (this.chunkBytes >= CHUNK_GARBAGE_BYTES) {
      this.chunkBytes = 0;
      collectGarbage(Garbage.YOUNG);
    }
  }

  /**
   * Takes memory for a body that is passed on.
   * @returns Whether there is room for it; if so, `release` is to be called.
   */
  keep(bytes: number): boolean {
    const isSmall = bytes <= SMALL_BYTES;
    if (isSmall ? !this.hasRoomForSmall(bytes) : !this.hasRoomForLarge(bytes)) {
      return false;
    }
    this.keptBytes += bytes;
    this.keptLargeBytes += isSmall ? 0 : bytes;
    return true;
  }

  /** Gives back the memory of a body that was passed on. */
  release(bytes: number): void {
    this.keptBytes -= bytes;
    if (bytes <= SMALL_BYTES) {
      return;
    }
    this.keptLargeBytes -= bytes;
    this.releasedBytes += bytes;
    if (this.releasedBytes >= this.limits.keptBytes) {
      this.releasedBytes = 0;
      collectGarbage(Garbage.ALL);
    }
  }

  private hasRoomForSmall(bytes: number): boolean {
    const {keptBytes} = this.limits;
    const smallBytes = this.keptBytes - this.keptLargeBytes + bytes;
    return (
      this.keptBytes + bytes <= keptBytes ||
      smallBytes <= keptBytes * (1 - LARGE_PART)
    );
  }

  /** A body within the operator's limit finds room if no other large one is kept. */
  private hasRoomForLarge(bytes: number): boolean {
    return (
      this.keptLargeBytes === 0 ||
      this.keptLargeBytes + bytes <= this.limits.keptBytes * LARGE_PART
    );
  }

  private evictDownTo(bytes: number): void {
    const nowMs = this.clock.monotonicMs();
    const ranked = [...this.receiving]
      .map(body => ({body, rank: rankForEviction(body, nowMs)}))
      .sort((one, other) => other.rank - one.rank);
    for (const {body} of ranked) {
      if (this.receivingBytes <= bytes) {
        return;
      }
      body.evict();
    }
  }
}

/** Returns what a body has taken so far, in bytes times milliseconds. */
function rankForEviction(body: ReceivingBody, nowMs: number): number {
  return body.getHeldBytes() * (nowMs - body.startedMs + 1);
}
