/** Largest segment that is reserved for bytes that have yet to arrive, in bytes. */
const MAX_RESERVED_BYTES = 65_536;

/**
 * Bytes that arrive in pieces. They are copied once, into segments, so that appending takes
 * time in proportion to the piece, and many small pieces take no more memory than their bytes.
 */
export class SegmentedBuffer {
  /** Segments, of which only the last may have free space. */
  private readonly segments: Buffer[] = [];
  private freeBytes = 0;
  private totalBytes = 0;

  /** Number of bytes. */
  get length(): number {
    return this.totalBytes;
  }

  /** Appends a copy of bytes. */
  append(bytes: Buffer): void {
    let offset = 0;
    while (offset < bytes.length) {
      const segment = this.getFreeSegment(bytes.length - offset);
      const start = segment.length - this.freeBytes;
      const copied = bytes.copy(segment, start, offset);
      offset += copied;
      this.freeBytes -= copied;
      this.totalBytes += copied;
    }
  }

  /** Lists the bytes from a position, without copying them. */
  list(start = 0): Buffer[] {
    const listed: Buffer[] = [];
    let position = 0;
    for (const segment of this.segments) {
      const end = Math.min(segment.length, this.totalBytes - position);
      if (position + end > start) {
        listed.push(segment.subarray(Math.max(0, start - position), end));
      }
      position += end;
    }
    return listed;
  }

  /** Removes all bytes. */
  clear(): void {
    this.segments.length = 0;
    this.freeBytes = 0;
    this.totalBytes = 0;
  }

  private getFreeSegment(neededBytes: number): Buffer {
    const last = this.segments.at(-1);
    if (last !== undefined && this.freeBytes > 0) {
      return last;
    }
    const reservedBytes = Math.min(this.totalBytes, MAX_RESERVED_BYTES);
    const segment = Buffer.allocUnsafe(Math.max(neededBytes, reservedBytes));
    this.segments.push(segment);
    this.freeBytes = segment.length;
    return segment;
  }
}
