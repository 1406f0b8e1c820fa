import {FrameReader} from '../peer/index.js';

/** A decoded head and the bytes after it that arrived with it. */
export interface ReceivedHead {
  readonly value: unknown;
  /** The head as it arrived, with its length prefix. */
  readonly bytes: Buffer;
  readonly rest: Buffer;
}

/** Size of the length prefix of a frame, in bytes. */
const PREFIX_BYTES = 4;

/**
 * Reads the frame at the beginning of a message.
 * @param chunks - The message; the iterator can be used on for the rest of it.
 * @param maxBytes - Largest frame, in bytes.
 * @returns The head; `undefined` if the message has none that can be read.
 */
export async function readHead(
  chunks: AsyncIterator<Uint8Array>,
  maxBytes: number,
): Promise<ReceivedHead | undefined> {
  const received: Uint8Array[] = [];
  let length = 0;
  let end: number | undefined;
  for (;;) {
    const next = await chunks.next();
    if (next.done === true) {
      return undefined;
    }
    received.push(next.value);
    length += next.value.length;
    if (length < PREFIX_BYTES) {
      continue;
    }
    // Joined for the prefix and at the end, not for each chunk.
    end ??= PREFIX_BYTES + Buffer.concat(received).readUInt32BE(0);
    if (end > maxBytes) {
      return undefined;
    }
    if (length >= end) {
      return parseHead(Buffer.concat(received), maxBytes);
    }
  }
}

/**
 * Decodes the frame at the beginning of a message that has been received.
 * @param message - The message, at least up to the end of the frame.
 * @param maxBytes - Largest frame, in bytes.
 * @returns The head; `undefined` if the message has none that can be read.
 */
export function parseHead(
  message: Buffer,
  maxBytes: number,
): ReceivedHead | undefined {
  if (message.length < PREFIX_BYTES) {
    return undefined;
  }
  const end = PREFIX_BYTES + message.readUInt32BE(0);
  if (end > Math.min(maxBytes, message.length)) {
    return undefined;
  }
  const bytes = message.subarray(0, end);
  const reader = new FrameReader(maxBytes);
  reader.add(bytes);
  const frame = reader.read();
  return frame.isOk && frame.value !== undefined
    ? {value: frame.value.value, bytes, rest: message.subarray(end)}
    : undefined;
}
