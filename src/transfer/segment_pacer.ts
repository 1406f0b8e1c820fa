import {Clock} from '../time/index.js';

/** Share of the link for segments; the rest is for heartbeats and answers to callers. */
const LINK_SHARE = 0.7;
/**
 * Longest delay of a segment, in milliseconds; beyond that, the receiver is told to ask
 * later. It is well below the timeout of the receiver's request.
 */
const MAX_DELAY_MS = 300;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_AND_MBPS = 1000;

/**
 * Spreads the segments that this host sends to all receivers, so that they never fill
 * its link. Socket buffers hold far more than a heartbeat may wait for.
 */
export class SegmentPacer {
  private freeMs = 0;

  /**
   * @param clock - Measures the delays.
   * @param getLinkMbps - Returns the speed of this host's link; `undefined` if unknown,
   *   in which case nothing is delayed.
   */
  constructor(
    private readonly clock: Clock,
    private readonly getLinkMbps: () => number | undefined,
  ) {}

  /**
   * Reserves the link for a segment.
   * @param bytes - Size of the segment.
   * @returns After which time to send it, in milliseconds, and whether it is reserved;
   *   otherwise the receiver has to ask again after that time.
   */
  reserve(bytes: number): {
    readonly delayMs: number;
    readonly isReserved: boolean;
  } {
    const linkMbps = this.getLinkMbps();
    if (linkMbps === undefined) {
      return {delayMs: 0, isReserved: true};
    }
    const nowMs = this.clock.monotonicMs();
    const startMs = Math.max(nowMs, this.freeMs);
    const delayMs = startMs - nowMs;
    if (delayMs > MAX_DELAY_MS) {
      return {delayMs, isReserved: false};
    }
    const bitsPerMs = linkMbps * BITS_PER_MS_AND_MBPS * LINK_SHARE;
    this.freeMs = startMs + (bytes * BITS_PER_BYTE) / bitsPerMs;
    return {delayMs, isReserved: true};
  }
}
