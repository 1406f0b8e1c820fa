import {Encoder} from 'cbor-x';
import {Result} from 'true-myth';

/** Size of the length prefix of each frame, in bytes. */
const HEADER_BYTES = 4;

const encoder = new Encoder({useRecords: false, mapsAsObjects: true});

/**
 * Encodes a value as a frame: a 4-byte big-endian length, then CBOR.
 * @param value - Value to send.
 */
export function encodeFrame(value: unknown): Buffer {
  const body = encoder.encode(value);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Body size from which a frame counts as long, in bytes: 52 ms at 10 Mbit/s. */
const LONG_FRAME_BYTES = 65_536;

/** Splits a byte stream into frames and decodes them. */
export class FrameReader {
  private buffered: Buffer[] = [];
  private bufferedBytes = 0;

  /** @param limitBytes - Largest frame body accepted, in bytes; see `setLimit`. */
  constructor(private limitBytes: number) {}

  /** Sets the largest frame body accepted, in bytes. */
  setLimit(limitBytes: number): void {
    this.limitBytes = limitBytes;
  }

  /** Appends received bytes to the buffer. */
  add(chunk: Buffer): void {
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
  }

  /**
   * Removes the next complete frame from the buffer and decodes it.
   * @returns The decoded value, `undefined` when more bytes are needed, or a
   *   description of the error. After an error the stream must be closed.
   */
  read(): Result<{readonly value: unknown} | undefined, string> {
    if (this.bufferedBytes < HEADER_BYTES) {
      return Result.ok(undefined);
    }
    const length = this.readHeader();
    if (length > this.limitBytes) {
      return Result.err(
        `frame of ${length} bytes exceeds the limit of ${this.limitBytes} bytes`,
      );
    }
    if (this.bufferedBytes < HEADER_BYTES + length) {
      return Result.ok(undefined);
    }
    // Joined once for each frame: for each chunk, a frame of 4 MiB would be copied 64 times.
    const all = this.join();
    const body = all.subarray(HEADER_BYTES, HEADER_BYTES + length);
    const rest = all.subarray(HEADER_BYTES + length);
    this.buffered = rest.length === 0 ? [] : [rest];
    this.bufferedBytes = rest.length;
    try {
      return Result.ok({value: encoder.decode(body)});
    } catch (error) {
      return Result.err(`frame body is not valid CBOR: ${String(error)}`);
    }
  }

  /** Returns whether a long frame has been received in part. */
  isReadingLongFrame(): boolean {
    const first = this.buffered[0];
    return (
      first !== undefined &&
      first.length >= HEADER_BYTES &&
      first.readUInt32BE(0) >= LONG_FRAME_BYTES
    );
  }

  private readHeader(): number {
    const first = this.buffered[0];
    return first !== undefined && first.length >= HEADER_BYTES
      ? first.readUInt32BE(0)
      : this.join().readUInt32BE(0);
  }

  private join(): Buffer {
    if (this.buffered.length === 1 && this.buffered[0] !== undefined) {
      return this.buffered[0];
    }
    const all = Buffer.concat(this.buffered, this.bufferedBytes);
    this.buffered = [all];
    return all;
  }
}
