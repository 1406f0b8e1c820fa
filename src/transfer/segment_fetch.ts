import {Result} from 'true-myth';
import {Clock} from '../time/index.js';
import {segmentReplySchema, SegmentRequest} from './bulk_changes.js';
import {SEGMENT_BYTES} from './limits.js';

/** Dependencies of the transfer of one content. */
export interface SegmentFetchOptions {
  readonly clock: Clock;
  /** Id of the content. */
  readonly content: string;
  /** Size of the content. */
  readonly bytes: number;
  readonly request: (
    body: SegmentRequest,
    timeoutMs: number,
  ) => Promise<Result<unknown, Error>>;
  /** Called for each segment that arrives. */
  readonly onProgress: () => void;
}

/**
 * Segments requested at the same time: 98 kB, 79 ms at 10 Mbit/s, about a round trip
 * between data centres. A heartbeat on the same link waits no longer than that.
 */
const WINDOW = 3;
/**
 * Time without a reply after which the sender counts as stuck, in milliseconds. Within
 * the 3 s of a configuration, that leaves the time for another source.
 */
const STALL_MS = 800;
/**
 * Time limit of one request, in milliseconds. It is longer than `STALL_MS`, since a slow
 * link transmits the segments of the window one after the other.
 */
const REQUEST_TIMEOUT_MS = 3000;
/** Pause after a failed request, in ms; one on a closed connection fails at once. */
const RETRY_MS = 50;
/** Time limit of the whole content, in ms: 8 MiB at 10 Mbit/s take 6.7 s. */
const MAX_FETCH_MS = 10_000;

/** Requests the segments of a content, a few at a time. */
export class SegmentFetch {
  private readonly buffer: Buffer;
  private readonly startMs: number;
  private nextOffset = 0;
  private lastProgressMs: number;
  private failure: string | undefined;

  constructor(private readonly options: SegmentFetchOptions) {
    this.buffer = Buffer.alloc(options.bytes);
    this.startMs = options.clock.monotonicMs();
    this.lastProgressMs = this.startMs;
  }

  /** Returns the content, or why it was not received. */
  async run(): Promise<Result<Uint8Array, string>> {
    const done = new AbortController();
    const segments = Promise.all(
      Array.from({length: WINDOW}, () => this.fetchSegments()),
    );
    await Promise.race([segments, this.failWithoutProgress(done.signal)]);
    done.abort();
    return this.failure === undefined
      ? Result.ok(this.buffer)
      : Result.err(this.failure);
  }

  private async fetchSegments(): Promise<void> {
    while (this.failure === undefined && this.nextOffset < this.options.bytes) {
      const offset = this.nextOffset;
      this.nextOffset += SEGMENT_BYTES;
      await this.fetchSegment(offset);
    }
  }

  private async fetchSegment(offset: number): Promise<void> {
    const {clock, content, request} = this.options;
    const body = {kind: 'segment', content, offset} as const;
    while (this.failure === undefined) {
      const reply = await request(body, REQUEST_TIMEOUT_MS);
      if (reply.isErr) {
        await clock.sleep(RETRY_MS);
        continue;
      }
      if (this.failure !== undefined) {
        return;
      }
      const parsed = segmentReplySchema.safeParse(reply.value);
      const {data, waitMs} = parsed.data ?? {};
      if (data !== undefined) {
        this.addSegment(offset, data);
        return;
      }
      if (waitMs === undefined) {
        this.fail('the sender no longer has the content');
        return;
      }
      // A busy sender is not stuck. To start over elsewhere would lose what has arrived.
      this.lastProgressMs = clock.monotonicMs();
      await clock.sleep(Math.min(waitMs, STALL_MS));
    }
  }

  private addSegment(offset: number, data: Uint8Array): void {
    const expected = Math.min(SEGMENT_BYTES, this.options.bytes - offset);
    if (data.length !== expected) {
      this.fail(`segment has ${data.length} instead of ${expected} bytes`);
      return;
    }
    this.buffer.set(data, offset);
    this.lastProgressMs = this.options.clock.monotonicMs();
    this.options.onProgress();
  }

  /** Returns for how long to wait for the next segment, in milliseconds. */
  private getTimeLeftMs(): number {
    const endMs = Math.min(
      this.lastProgressMs + STALL_MS,
      this.startMs + MAX_FETCH_MS,
    );
    return endMs - this.options.clock.monotonicMs();
  }

  /** Fails the transfer once no segment has arrived for too long. */
  private async failWithoutProgress(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const leftMs = this.getTimeLeftMs();
      if (leftMs <= 0) {
        this.fail('no segment arrived in time');
        return;
      }
      await this.options.clock.sleep(leftMs, signal);
      // After a pause of this process, timers fire before replies that have arrived are read.
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  private fail(detail: string): void {
    const {bytes} = this.options;
    this.failure ??= `${detail} (content of ${bytes} bytes)`;
  }
}
