import {EventSplitter} from '../answer/index.js';
import {LogFields} from '../log/index.js';

/** Sizes of one event, in bytes. */
const EVENT_BYTES = [100, 10_000, 100_000, 1_000_000] as const;
/** Bytes of the pieces in which events arrive: small chunks, and reads of a connection. */
const PIECE_BYTES = [128, 65_536] as const;
/** Bytes split in each measurement. */
const TOTAL_BYTES = 20_000_000;

/** Measures the time to split a stream into events, by the size of an event and its pieces. */
export function measureEventSplitter(): LogFields[] {
  return PIECE_BYTES.flatMap(pieceBytes =>
    EVENT_BYTES.map(eventBytes => measureSize(eventBytes, pieceBytes)),
  );
}

function measureSize(eventBytes: number, pieceBytes: number): LogFields {
  const start = 'id: 1\ndata: ';
  const data = 'x'.repeat(eventBytes - start.length - 2);
  const stream = Buffer.from(
    `${start}${data}\n\n`.repeat(TOTAL_BYTES / eventBytes),
  );
  const splitter = new EventSplitter();
  const startMs = performance.now();
  for (let offset = 0; offset < stream.length; offset += pieceBytes) {
    splitter.add(stream.subarray(offset, offset + pieceBytes));
  }
  const spentMs = performance.now() - startMs;
  return {
    slope: 'event_splitter',
    event_bytes: eventBytes,
    piece_bytes: pieceBytes,
    ms_per_mb: ((spentMs * 1e6) / stream.length).toFixed(2),
  };
}
