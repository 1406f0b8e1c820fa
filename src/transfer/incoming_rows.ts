import {Result} from 'true-myth';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {RowChanges, RowReplica, VersionedRow} from '../replica/index.js';
import {Clock} from '../time/index.js';
import {BulkChanges, bulkChangesSchema, LongRow} from './bulk_changes.js';
import {Compression} from './compression.js';
import {FetchProgress, FetchSource} from './fetch_progress.js';
import {LONG_TEXT_LENGTH} from './limits.js';
import {RetainedTexts} from './retained_texts.js';
import {RequestPeer} from './request_peer.js';
import {SegmentFetch} from './segment_fetch.js';
import {decodeText} from './text_codec.js';

/** Dependencies of the rows that a host requests from its peers. */
export interface IncomingRowsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly compression: Compression;
  readonly texts: RetainedTexts;
  readonly progress: FetchProgress;
  readonly requestPeer: RequestPeer;
}

/** Time for the first reply, which holds at most about one segment, in milliseconds. */
const REQUEST_TIMEOUT_MS = 1000;
const RECEIVED_METRIC = 'long_rows_received';

/** Texts that this host holds, by key of the row. */
type HeldTexts = ReadonlyMap<string, {readonly text: string; hash: string}>;

/** Why rows could not be requested. */
interface PullFailure {
  readonly detail: string;
  /** Whether a difference was unusable, so that the whole text may help. */
  readonly isDifference?: boolean;
}

/** Requests rows from peers and decodes their long texts. */
export class IncomingRows {
  private receivedBytes = 0;

  constructor(private readonly options: IncomingRowsOptions) {
    options.metrics.addCounter(
      RECEIVED_METRIC,
      'Long rows received from peers, by encoding',
    );
    options.metrics.addGauge(
      'long_rows_received_bytes',
      'Bytes of the encoded long rows received from peers since the start',
      () => this.receivedBytes,
    );
  }

  /**
   * Requests the rows of a replica that it lacks; requests whole texts if a difference is
   * unusable.
   * @returns The rows, or why there are none.
   */
  async pull(
    host: string,
    table: string,
    replica: RowReplica,
  ): Promise<Result<RowChanges, string>> {
    const {log, progress} = this.options;
    let pulled = await this.pullOnce(
      host,
      table,
      replica,
      this.listHeld(table, replica),
    );
    if (pulled.isErr && pulled.error.isDifference === true) {
      log.warn('difference_unusable', {table, peer: host});
      pulled = await this.pullOnce(host, table, replica, new Map());
    }
    progress.end(table, FetchSource.PEER, pulled.isOk);
    return pulled.mapErr(({detail}) => detail);
  }

  private async pullOnce(
    host: string,
    table: string,
    replica: RowReplica,
    held: HeldTexts,
  ): Promise<Result<RowChanges, PullFailure>> {
    const holds = Object.fromEntries(
      [...held].map(([key, {hash}]) => [key, hash]),
    );
    const after = replica.getVersion();
    const body = {kind: 'news', replica: table, after, ability: {holds}};
    const reply = await this.options.requestPeer(
      host,
      body,
      REQUEST_TIMEOUT_MS,
    );
    if (reply.isErr) {
      return Result.err({detail: reply.error.message});
    }
    const parsed = bulkChangesSchema.safeParse(reply.value);
    if (!parsed.success) {
      return Result.err({detail: 'reply does not match the schema'});
    }
    return this.unpack(host, table, parsed.data, held);
  }

  private async unpack(
    host: string,
    table: string,
    {long = [], ...changes}: BulkChanges,
    held: HeldTexts,
  ): Promise<Result<RowChanges, PullFailure>> {
    const rows: VersionedRow[] = [...changes.rows];
    for (const row of long) {
      const text = await this.receive(host, table, row, held);
      if (text.isErr) {
        return Result.err(text.error);
      }
      rows.push({key: row.key, version: row.version, text: text.value});
    }
    return Result.ok({...changes, rows});
  }

  private async receive(
    host: string,
    table: string,
    row: LongRow,
    held: HeldTexts,
  ): Promise<Result<string, PullFailure>> {
    const {clock, compression, log, metrics} = this.options;
    const startMs = clock.monotonicMs();
    const isDifference = row.base !== undefined;
    const base = held.get(row.key);
    if (isDifference && base?.hash !== row.base) {
      return Result.err({detail: 'base is not held', isDifference});
    }
    const content = await this.fetch(host, table, row);
    if (content.isErr) {
      return Result.err({detail: content.error});
    }
    const text = await decodeText(
      compression,
      content.value,
      row.hash,
      isDifference ? base?.text : undefined,
    );
    if (text === undefined) {
      const detail = `content of ${row.key} does not give the stated text`;
      return Result.err({detail, isDifference});
    }
    const encoding = isDifference ? 'difference' : 'whole';
    metrics.increment(RECEIVED_METRIC, {encoding});
    this.receivedBytes += row.bytes;
    log.info('long_row_received', {
      table,
      key: row.key,
      peer: host,
      encoding,
      bytes: row.bytes,
      characters: text.length,
      ms: Math.round(clock.monotonicMs() - startMs),
    });
    return Result.ok(text);
  }

  private async fetch(
    host: string,
    table: string,
    {content, bytes, data}: LongRow,
  ): Promise<Result<Uint8Array, string>> {
    if (data !== undefined) {
      return Result.ok(data);
    }
    const {clock, progress, requestPeer} = this.options;
    return new SegmentFetch({
      clock,
      content,
      bytes,
      request: (body, timeoutMs) => requestPeer(host, body, timeoutMs),
      onProgress: () => progress.addProgress(table, FetchSource.PEER),
    }).run();
  }

  private listHeld(table: string, replica: RowReplica): HeldTexts {
    const held = new Map<string, {text: string; hash: string}>();
    for (const {key, text} of replica.listLongTexts(LONG_TEXT_LENGTH)) {
      held.set(key, {
        text,
        hash: this.options.texts.add(`${table}/${key}`, text),
      });
    }
    return held;
  }
}
