import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {RowChanges, VersionedRow} from '../replica/index.js';
import {Clock} from '../time/index.js';
import {
  BulkAbility,
  BulkChanges,
  LongRow,
  SegmentReply,
  SegmentRequest,
} from './bulk_changes.js';
import {Compression} from './compression.js';
import {ContentCache} from './content_cache.js';
import {
  LONG_TEXT_LENGTH,
  MAX_CONTENT_BYTES,
  MAX_TEXT_BYTES,
  SEGMENT_BYTES,
} from './limits.js';
import {RetainedTexts} from './retained_texts.js';
import {SegmentPacer} from './segment_pacer.js';
import {encodeDifference, encodeWhole} from './text_codec.js';

/** Dependencies of the rows that a host sends. */
export interface OutgoingRowsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly compression: Compression;
  readonly texts: RetainedTexts;
  /** Returns the speed of this host's link in Mbit/s; `undefined` if unknown. */
  readonly getLinkMbps: () => number | undefined;
}

/** A row with a text. */
type TextRow = VersionedRow & {readonly text: string};

/**
 * Texts in one message to a host that does not understand encoded ones, in UTF-16 code
 * units. A larger message exceeds the limit of frames of the previous release, which
 * closes the connection, and with it that host's heartbeats fail.
 */
const MAX_PLAIN_LENGTH = 4_000_000;
const DELAYED_METRIC = 'segments_delayed';

/** Encodes the long texts of rows, once for all receivers, and sends them in segments. */
export class OutgoingRows {
  private readonly contents = new ContentCache();
  private readonly pacer: SegmentPacer;
  private sentBytes = 0;

  constructor(private readonly options: OutgoingRowsOptions) {
    this.pacer = new SegmentPacer(options.clock, options.getLinkMbps);
    options.metrics.addCounter(
      DELAYED_METRIC,
      'Segments that peers were told to request later, as the link is busy',
    );
    options.metrics.addGauge(
      'long_rows_sent_bytes',
      'Bytes of the encoded long rows sent to peers since the start',
      () => this.sentBytes,
    );
  }

  /**
   * Encodes the long texts of changes.
   * @param table - Name of the replica.
   * @param changes - Rows for a peer.
   * @param ability - What the peer understands; `undefined` for the previous release.
   * @throws Error - When the changes are too large for a host of the previous release.
   */
  async pack(
    table: string,
    changes: RowChanges,
    ability: BulkAbility | undefined,
  ): Promise<BulkChanges> {
    if (ability === undefined) {
      checkPlainLength(changes.rows);
      return changes;
    }
    const long = changes.rows.filter(isLong);
    if (long.length === 0) {
      return changes;
    }
    let inlineBytes = SEGMENT_BYTES;
    const encoded: LongRow[] = [];
    for (const row of long) {
      const held = ability.holds[row.key];
      const {data, ...described} = await this.encode(table, row, held);
      const isInline = data.length <= inlineBytes;
      inlineBytes -= isInline ? data.length : 0;
      this.sentBytes += isInline ? data.length : 0;
      encoded.push(isInline ? {...described, data} : described);
    }
    const rows = changes.rows.filter(row => !isLong(row));
    return {...changes, rows, long: encoded};
  }

  /**
   * Replaces long rows that are forwarded by an announcement, so that receivers request
   * them. The announcement claims to continue from its own version, which a receiver
   * that lacks the rows has not reached; hosts of every release then request the rows.
   * Rows beyond the version up to which this host is complete are sent as they are,
   * because receivers would not request them.
   */
  announce(table: string, changes: RowChanges): RowChanges {
    const {version} = changes.state;
    const rows: VersionedRow[] = [];
    for (const row of changes.rows) {
      if (isLong(row) && row.version <= version) {
        this.options.texts.add(`${table}/${row.key}`, row.text);
      } else {
        rows.push(row);
      }
    }
    return rows.length === changes.rows.length
      ? changes
      : {...changes, rows, after: version};
  }

  /** Reads a segment of a content. */
  async readSegment({content, offset}: SegmentRequest): Promise<SegmentReply> {
    const bytes = await this.contents.get(content);
    const data = bytes?.subarray(offset, offset + SEGMENT_BYTES);
    if (data === undefined || data.length === 0) {
      return {};
    }
    const {delayMs, isReserved} = this.pacer.reserve(data.length);
    if (!isReserved) {
      this.options.metrics.increment(DELAYED_METRIC);
      return {waitMs: delayMs};
    }
    if (delayMs > 0) {
      await this.options.clock.sleep(delayMs);
    }
    this.sentBytes += data.length;
    return {data};
  }

  private async encode(
    table: string,
    {key, version, text}: TextRow,
    held: string | undefined,
  ): Promise<LongRow & {readonly data: Uint8Array}> {
    const {texts, compression} = this.options;
    const name = `${table}/${key}`;
    const hash = texts.add(name, text);
    const base = held === undefined ? undefined : texts.find(name, held);
    if (held !== undefined && base !== undefined) {
      const content = `${hash}-${held}`;
      const data = await this.contents.getOrMake(content, () =>
        this.logMade(name, 'difference', text, () =>
          encodeDifference(compression, base, text),
        ),
      );
      if (data !== undefined) {
        const bytes = data.length;
        return {key, version, hash, base: held, content, bytes, data};
      }
    }
    const data = await this.contents.getOrMake(hash, () =>
      this.logMade(name, 'whole', text, () => encodeWhole(compression, text)),
    );
    if (data === undefined || data.length > MAX_CONTENT_BYTES) {
      throw new Error(`row ${key} is too large to be sent`);
    }
    return {key, version, hash, content: hash, bytes: data.length, data};
  }

  private async logMade(
    row: string,
    encoding: string,
    text: string,
    make: () => Promise<Uint8Array | undefined>,
  ): Promise<Uint8Array | undefined> {
    const {clock, log} = this.options;
    const startMs = clock.monotonicMs();
    const content = await make();
    log.info('long_row_encoded', {
      row,
      encoding,
      characters: text.length,
      // Without bytes, the texts have too little in common for a difference.
      bytes: content?.length,
      ms: Math.round(clock.monotonicMs() - startMs),
    });
    return content;
  }
}

/** Rows beyond the receiver's limit are sent plain, as by the previous release. */
function isLong(row: VersionedRow): row is TextRow {
  const length = row.text?.length ?? 0;
  return length >= LONG_TEXT_LENGTH && length <= MAX_TEXT_BYTES;
}

function checkPlainLength(rows: readonly VersionedRow[]): void {
  const length = rows.reduce((sum, {text = ''}) => sum + text.length, 0);
  if (length > MAX_PLAIN_LENGTH) {
    throw new Error(
      `rows of ${length} characters exceed the frame limit of the previous release; update the host, it reads the store meanwhile`,
    );
  }
}
