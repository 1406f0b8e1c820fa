import {isHeaderValue} from '../headers/index.js';
import {IncompleteAnswer, IncompleteReason} from './incomplete_answer.js';
import {SegmentedBuffer} from './segmented_buffer.js';

/**
 * Longest event with the comments before it, in bytes. Events that carry an image or a tool
 * call are shorter; a host keeps an incomplete event of each stream in its memory of 128 MB.
 */
const MAX_EVENT_BYTES = 1_048_576;
/** Longest id that is sent to a server, in bytes. Servers limit a head to 8 KB and more. */
const MAX_ID_BYTES = 1024;
/** Id after an event whose own id cannot be sent to a server: no server can continue there. */
const UNKNOWN_ID = '';
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const LETTER_I = 0x69;
const LETTER_R = 0x72;
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);
/** The field that sets the id of an event; its value follows after an optional space. */
const ID_FIELD = /^id(?::[ ]?(.*))?$/;
/** A field that is no part of an event. */
const RETRY_FIELD = /^retry:/;

/** Complete events of a stream. */
export interface SplitEvents {
  /** Bytes of the events; empty if there are none. */
  readonly bytes: Buffer;
  /**
   * Ids of the first and the last event that have one. An empty one resets the id, so that the
   * position in the stream is not known.
   */
  readonly firstId?: string;
  readonly lastId?: string;
}

/** Whether a stream can be continued after the last event that was read. */
const Position = {
  KNOWN: 'known',
  /** Its id cannot be sent to a server; it waits for the next event. */
  HELD: 'held',
  UNKNOWN: 'unknown',
} as const;
type Position = (typeof Position)[keyof typeof Position];

/**
 * Splits a stream of server-sent events after each event, so that only complete events
 * are relayed and another server can continue the stream. As in the specification of
 * server-sent events, lines end with LF, CRLF or CR, and a blank line ends an event.
 *
 * An event whose id cannot be sent to a server is returned with the next one: until then, another
 * server could only continue before it. If that one has no id to continue after either, both are
 * returned, and the position is not known.
 */
export class EventSplitter {
  /** Bytes after the last complete event. */
  private readonly rest = new SegmentedBuffer();
  /** Start of the current line in `rest`. */
  private lineStart = 0;
  /** Number of bytes of `rest` that were read: all, or all but a CR at the end. */
  private scanned = 0;
  /** Position after the last CR, at which an LF belongs to the same line end. */
  private returnEnd: number | undefined;
  /** Whether lines of the stream end with CRLF. */
  private usesPairs = false;
  private isFirstLine = true;
  /** Whether the current event has any field; comments and `retry` do not count. */
  private hasField = false;
  /** Bytes of comments and blank lines since the last event that has a field. */
  private emptyBytes = 0;
  private eventId: string | undefined;
  private eventCount = 0;
  private position: Position = Position.KNOWN;
  private unusableIdCount = 0;

  /**
   * Adds bytes; returns the events that are now complete. The time that it takes is in
   * proportion to the bytes, however the stream is split.
   * @throws IncompleteAnswer - If an event is too long.
   */
  add(bytes: Uint8Array): SplitEvents {
    const piece = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    if (piece.length === 0) {
      return {bytes: piece};
    }
    /** Position of the piece; positions count from the end of the last event. */
    const offset = this.rest.length;
    let end = 0;
    let firstId: string | undefined;
    let lastId: string | undefined;
    const length = this.getScannableLength(piece);
    for (let at = this.scanned - offset; at < length - offset; at++) {
      // Of the bytes before the piece, only a CR may not have been read.
      const byte = at < 0 ? CARRIAGE_RETURN : piece[at];
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        continue;
      }
      const index = offset + at;
      const isSecondOfLineEnd = byte === LINE_FEED && index === this.returnEnd;
      this.returnEnd = byte === CARRIAGE_RETURN ? index + 1 : undefined;
      if (isSecondOfLineEnd) {
        this.usesPairs = true;
        end = end > 0 && end === index ? index + 1 : end;
      } else if (index > this.lineStart) {
        this.readLine(piece, index);
      } else {
        this.addEventBytes(index + 1 - end);
        const id = this.endEvent();
        lastId = id ?? lastId;
        firstId ??= id;
        end = this.position === Position.HELD ? end : index + 1;
      }
      this.lineStart = index + 1;
    }
    checkLength(this.emptyBytes + offset + piece.length - end);
    this.scanned = length - end;
    this.lineStart -= end;
    this.returnEnd = this.returnEnd && this.returnEnd - end;
    const complete = this.takeUntil(end, piece);
    return {
      bytes: complete,
      ...(firstId === undefined ? {} : {firstId}),
      ...(lastId === undefined ? {} : {lastId}),
    };
  }

  /** Returns the number of events whose id cannot be sent to a server. */
  countUnusableIds(): number {
    return this.unusableIdCount;
  }

  /** Returns the number of complete events. */
  countEvents(): number {
    return this.eventCount;
  }

  /**
   * Tells whether the bytes so far end inside an event: fields of one have arrived, or a
   * part of a line. Comments, `retry` fields, further blank lines and white space may
   * follow the last event of a complete stream.
   */
  isInsideEvent(): boolean {
    const line = Buffer.concat(this.rest.list(this.lineStart));
    const from = this.getMarkLength(line, 0);
    const isInsideLine = line.toString('latin1', from).trim() !== '';
    return this.hasField || isInsideLine;
  }

  /** Returns and removes the bytes after the last complete event. */
  takeRest(): Buffer {
    const rest = Buffer.concat(this.rest.list());
    this.rest.clear();
    this.lineStart = 0;
    this.scanned = 0;
    this.returnEnd = undefined;
    return rest;
  }

  /** Returns and removes the bytes up to an end, and keeps those after it. */
  private takeUntil(end: number, piece: Buffer): Buffer {
    const endInPiece = end - this.rest.length;
    if (end === 0) {
      this.rest.append(piece);
      return piece.subarray(0, 0);
    }
    const complete = piece.subarray(0, endInPiece);
    const taken =
      this.rest.length === 0
        ? complete
        : Buffer.concat([...this.rest.list(), complete]);
    this.rest.clear();
    // A copy, so that a few bytes do not keep the whole buffer of a read in memory.
    this.rest.append(piece.subarray(endInPiece));
    return taken;
  }

  /**
   * Returns how many bytes can be read now. Where lines end with CRLF, a CR at the end is half
   * of a line end, and another server must not continue the stream there.
   */
  private getScannableLength(piece: Buffer): number {
    const length = this.rest.length + piece.length;
    const waits = this.usesPairs && piece.at(-1) === CARRIAGE_RETURN;
    return waits ? length - 1 : length;
  }

  /** Reads the current line, whose line end is at a position. */
  private readLine(piece: Buffer, end: number): void {
    const {lineStart, rest} = this;
    const offset = rest.length;
    if (lineStart >= offset) {
      this.readField(piece, lineStart - offset, end - offset);
      return;
    }
    const last = piece.subarray(0, Math.max(0, end - offset));
    const line = Buffer.concat([...rest.list(lineStart), last]);
    this.readField(line, 0, end - lineStart);
  }

  /** Reads the line between two positions, without its line end. */
  private readField(bytes: Buffer, start: number, end: number): void {
    const from = start + this.getMarkLength(bytes, start);
    this.isFirstLine = false;
    if (!isField(bytes, from, end)) {
      return;
    }
    this.hasField = true;
    // Most lines are data; only lines that may be an id are decoded.
    const id =
      bytes[from] === LETTER_I
        ? ID_FIELD.exec(bytes.toString('latin1', from, end))
        : null;
    if (id !== null) {
      this.eventId = id[1] ?? '';
    }
  }

  /**
   * Adds the bytes up to a blank line; those without any field count for the next event.
   * @throws IncompleteAnswer - If there are too many of them.
   */
  private addEventBytes(bytes: number): void {
    checkLength(this.emptyBytes + bytes);
    this.emptyBytes = this.hasField ? 0 : this.emptyBytes + bytes;
  }

  /** Ends the current event at a blank line; returns its id, if it has one. */
  private endEvent(): string | undefined {
    const {eventId, hasField} = this;
    this.isFirstLine = false;
    this.eventCount += hasField ? 1 : 0;
    this.hasField = false;
    this.eventId = undefined;
    return hasField ? this.updatePosition(eventId) : eventId;
  }

  /** Updates the position after an event; returns the id to continue after, if it has changed. */
  private updatePosition(eventId: string | undefined): string | undefined {
    const isUsable = eventId === undefined || isUsableId(eventId);
    this.unusableIdCount += isUsable ? 0 : 1;
    if (eventId !== undefined && isUsable) {
      this.position = Position.KNOWN;
      return eventId;
    }
    if (isUsable && this.position === Position.KNOWN) {
      return undefined;
    }
    this.position =
      this.position === Position.KNOWN ? Position.HELD : Position.UNKNOWN;
    return this.position === Position.UNKNOWN ? UNKNOWN_ID : undefined;
  }

  /** Returns the length of the byte order mark that a stream may begin with. */
  private getMarkLength(bytes: Buffer, start: number): number {
    if (!this.isFirstLine) {
      return 0;
    }
    const first = bytes.subarray(start, start + BYTE_ORDER_MARK.length);
    return first.equals(BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.length : 0;
  }
}

/** @throws IncompleteAnswer - If an event, or what has arrived of it, is too long. */
function checkLength(bytes: number): void {
  if (bytes > MAX_EVENT_BYTES) {
    throw new IncompleteAnswer(
      IncompleteReason.EVENT_TOO_LONG,
      `an event is longer than ${MAX_EVENT_BYTES} bytes`,
    );
  }
}

/** Returns whether an id can be sent to a server that is to continue after it. */
function isUsableId(id: string): boolean {
  return id.length <= MAX_ID_BYTES && isHeaderValue(id);
}

/** Returns whether a line is a field of an event; comments and `retry` are not. */
function isField(bytes: Buffer, start: number, end: number): boolean {
  const first = bytes[start];
  if (start === end || first === COLON) {
    return false;
  }
  return (
    first !== LETTER_R ||
    !RETRY_FIELD.test(bytes.toString('latin1', start, end))
  );
}
