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
  /** Ids of the first and the last event that have one. */
  readonly firstId?: string;
  readonly lastId?: string;
}

/**
 * Splits a stream of server-sent events after each event, so that only complete events
 * are relayed and another server can continue the stream. As in the specification of
 * server-sent events, lines end with LF, CRLF or CR, and a blank line ends an event.
 */
export class EventSplitter {
  /** Bytes after the last complete event. */
  private rest: Buffer = Buffer.alloc(0);
  /** Start of the current line in `rest`. */
  private lineStart = 0;
  /** Number of bytes of `rest` whose lines are known. */
  private scanned = 0;
  /** Whether the last byte was a CR, so that an LF belongs to the same line end. */
  private isAfterReturn = false;
  /** Whether lines of the stream end with CRLF. */
  private usesPairs = false;
  private isFirstLine = true;
  /** Whether the current event has any field; comments and `retry` do not count. */
  private hasField = false;
  private eventId: string | undefined;
  private eventCount = 0;

  /** Adds bytes; returns the events that are now complete. */
  add(bytes: Uint8Array): SplitEvents {
    const all =
      this.rest.length === 0
        ? Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
        : Buffer.concat([this.rest, bytes]);
    let end = 0;
    let firstId: string | undefined;
    let lastId: string | undefined;
    const length = this.getScannableLength(all);
    for (let index = this.scanned; index < length; index++) {
      const byte = all[index];
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        this.isAfterReturn = false;
        continue;
      }
      const isSecondOfLineEnd = byte === LINE_FEED && this.isAfterReturn;
      this.isAfterReturn = byte === CARRIAGE_RETURN;
      if (isSecondOfLineEnd) {
        this.usesPairs = true;
        end = end > 0 && end === index ? index + 1 : end;
      } else if (index > this.lineStart) {
        this.readLine(all, this.lineStart, index);
      } else {
        end = index + 1;
        lastId = this.endEvent() ?? lastId;
        firstId ??= lastId;
      }
      this.lineStart = index + 1;
    }
    // A copy, so that a few bytes do not keep the whole buffer of a read in memory.
    this.rest = Buffer.from(all.subarray(end));
    this.scanned = length - end;
    this.lineStart -= end;
    const complete = all.subarray(0, end);
    return firstId === undefined || lastId === undefined
      ? {bytes: complete}
      : {bytes: complete, firstId, lastId};
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
    const {rest, lineStart} = this;
    const from = lineStart + this.getMarkLength(rest, lineStart);
    const isInsideLine = rest.toString('latin1', from).trim() !== '';
    return this.hasField || isInsideLine;
  }

  /** Returns and removes the bytes after the last complete event. */
  takeRest(): Buffer {
    const {rest} = this;
    this.rest = Buffer.alloc(0);
    this.lineStart = 0;
    this.scanned = 0;
    return rest;
  }

  /**
   * Returns how many bytes can be read now. Where lines end with CRLF, a CR at the end is half
   * of a line end, and another server must not continue the stream there.
   */
  private getScannableLength(all: Buffer): number {
    const waits = this.usesPairs && all.at(-1) === CARRIAGE_RETURN;
    return waits ? all.length - 1 : all.length;
  }

  /** Reads the line between two positions, without its line end. */
  private readLine(bytes: Buffer, start: number, end: number): void {
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

  /** Ends the current event at a blank line; returns its id, if it has one. */
  private endEvent(): string | undefined {
    const {eventId} = this;
    this.isFirstLine = false;
    this.eventCount += this.hasField ? 1 : 0;
    this.hasField = false;
    this.eventId = undefined;
    return eventId;
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
