const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/;

/** Complete events of a stream. */
export interface SplitEvents {
  /** Bytes of the events; empty if there are none. */
  readonly bytes: Buffer;
  /** Id of the last event that has one. */
  readonly lastId?: string;
}

/**
 * Splits a stream of server-sent events after each event, so that only complete events
 * are relayed and another server can continue the stream.
 */
export class EventSplitter {
  private rest = Buffer.alloc(0);

  /** Adds bytes; returns the events that are now complete. */
  add(bytes: Uint8Array): SplitEvents {
    const all =
      this.rest.length === 0
        ? Buffer.from(bytes)
        : Buffer.concat([this.rest, bytes]);
    const end = findLastEnd(all);
    this.rest = all.subarray(end);
    const complete = all.subarray(0, end);
    const lastId = findLastId(complete);
    return {bytes: complete, ...(lastId === undefined ? {} : {lastId})};
  }

  /** Returns and removes the bytes after the last complete event. */
  takeRest(): Buffer {
    const {rest} = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }
}

/** Returns the index after the last blank line; 0 if there is none. */
function findLastEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== NEWLINE) {
      continue;
    }
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === NEWLINE) {
      return index + 1;
    }
  }
  return 0;
}

function findLastId(complete: Buffer): string | undefined {
  if (complete.length === 0) {
    return undefined;
  }
  let lastId: string | undefined;
  for (const event of complete.toString('latin1').split(/\r?\n\r?\n/)) {
    lastId = ID_LINE.exec(event)?.[1] ?? lastId;
  }
  return lastId;
}
