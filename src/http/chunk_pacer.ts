import {Clock} from '../time/index.js';

/** A connection whose reading can be paused; see `ServerConnection`. */
export interface PausableConnection {
  pauseReading(): void;
  resumeReading(): void;
}

/** Chunks of a connection that arrive in one go. */
interface Burst {
  startedMs: number;
  chunks: number;
  bytes: number;
}

/** Dependencies of a `ChunkPacer`. */
export interface ChunkPacerOptions {
  readonly clock: Clock;
  /** Calls a function after the event loop has read what waited on its sockets. */
  readonly afterPoll: (call: () => void) => void;
}

/** Number of chunks after which a connection is looked at. */
const BURST_CHUNKS = 256;
/** Mean size from which chunks cost no more than other bytes, in bytes. */
const SMALL_CHUNK_BYTES = 512;
/** Chunks that take longer than this are no burst, in milliseconds: 2,500 a second cost little. */
const BURST_MS = 100;
/** Part of the event loop for small chunks. */
const SHARE = 1 / 3;
/**
 * Time that may be spent at once if little was spent before, in milliseconds: 100,000 chunks of
 * one byte, which a caller may send, take about 300 ms.
 */
const CREDIT_MS = 500;

/**
 * Limits the time that the event loop spends on small chunks. A chunk of one byte costs as much as
 * one of several KB, so that a single connection can keep the event loop from heartbeats and other
 * callers. Connections that send many pause after each read, and together take a third of the event
 * loop at most.
 */
export class ChunkPacer {
  private readonly bursts = new WeakMap<PausableConnection, Burst>();
  /** When the time spent so far is made up for, in monotonic milliseconds. */
  private balancedMs = 0;

  constructor(private readonly options: ChunkPacerOptions) {}

  /** Records a chunk of a connection, which may be paused. */
  addChunk(connection: PausableConnection, bytes: number): void {
    const burst = this.bursts.get(connection);
    if (burst === undefined) {
      const startedMs = this.options.clock.monotonicMs();
      this.bursts.set(connection, {startedMs, chunks: 1, bytes});
      return;
    }
    burst.chunks++;
    burst.bytes += bytes;
    if (burst.chunks === BURST_CHUNKS) {
      this.checkBurst(connection, burst);
    }
  }

  private checkBurst(connection: PausableConnection, burst: Burst): void {
    const {clock, afterPoll} = this.options;
    const tookMs = clock.monotonicMs() - burst.startedMs;
    if (tookMs > BURST_MS || burst.bytes >= BURST_CHUNKS * SMALL_CHUNK_BYTES) {
      this.bursts.delete(connection);
      return;
    }
    connection.pauseReading();
    // The rest of what has been read is parsed before that.
    afterPoll(() => {
      this.bursts.delete(connection);
      this.resumeLater(connection, (tookMs / BURST_CHUNKS) * burst.chunks);
    });
  }

  /** Lets a connection wait until the time of its burst, and of those before it, is made up for. */
  private resumeLater(connection: PausableConnection, tookMs: number): void {
    const {clock} = this.options;
    const nowMs = clock.monotonicMs();
    const beganMs = nowMs - tookMs;
    this.balancedMs = Math.max(this.balancedMs, beganMs) + tookMs / SHARE;
    const waitMs = this.balancedMs - CREDIT_MS / SHARE - nowMs;
    clock.startTimer(Math.max(0, waitMs), () => connection.resumeReading());
  }
}
