import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {RowReplica} from './row_replica.js';
import {TableReturn} from './table_return.js';
import {VersionedRow} from './versioned_row.js';

/** Dependencies of `DoubtfulRemovals`. */
export interface DoubtfulRemovalsOptions {
  readonly log: Log;
  /** Name of the table, for the log. */
  readonly table: string;
  /** Replica of the table, from which the rows are removed. */
  readonly replica: RowReplica;
  /** Source of the removals, passed to the replica's listeners. */
  readonly source: string;
  /** Returns for how long the table has been available in total, in milliseconds. */
  readonly getUptimeMs: () => number;
}

/** A row that the table lacks, though its author may write it again. */
interface DoubtfulRemoval {
  /** Version of the table that lacks the row. */
  readonly version: number;
  /** Uptime of the table when the removal was found, in milliseconds. */
  readonly foundMs: number;
  /** Uptime of the table from which on the removal is certain, in milliseconds. */
  readonly certainMs: number;
}

/**
 * Uptime after an outage within which a missing row may have expired because of it, in
 * milliseconds: rows that expired in an outage are back within about two seconds.
 */
export const REMOVAL_GRACE_MS = 2300;
/** Maximum number of keys in a log line. */
const MAX_LOGGED_KEYS = 5;

/**
 * Decides for each row that a table lacks whether it was removed, or may have expired in
 * an outage and be written again.
 *
 * A row that was written after the last outage cannot have expired in it, so its removal
 * is certain at once. Any other row is kept until the table has been available for the
 * grace time. That time is counted for each row from the outage before the row was missing,
 * and further outages only interrupt it: if they started it again, outages in a short
 * sequence would keep every removed row.
 */
export class DoubtfulRemovals {
  private readonly removals = new Map<string, DoubtfulRemoval>();

  constructor(private readonly options: DoubtfulRemovalsOptions) {}

  /** Returns the number of rows in doubt. */
  count(): number {
    return this.removals.size;
  }

  /** Returns the longest uptime of the table since a removal was doubted, in ms. */
  getOldestMs(): number {
    const uptimeMs = this.options.getUptimeMs();
    return Math.max(
      0,
      ...[...this.removals.values()].map(({foundMs}) => uptimeMs - foundMs),
    );
  }

  /** Returns the uptime until the next removal is certain, in ms; infinite if none is. */
  getRemainingMs(): number {
    const uptimeMs = this.options.getUptimeMs();
    return Math.min(
      ...[...this.removals.values()].map(({certainMs}) => certainMs - uptimeMs),
    );
  }

  /**
   * Removes rows that the table lacks, or marks them in doubt until that is certain.
   * @param missing - The rows, each with a version of the table that lacks it.
   * @param lastReturn - End of the last outage in which they may have expired.
   */
  add(missing: readonly VersionedRow[], lastReturn: TableReturn): void {
    const {replica, source, getUptimeMs} = this.options;
    const foundMs = getUptimeMs();
    const certainMs = lastReturn.uptimeMs + REMOVAL_GRACE_MS;
    const doubted: string[] = [];
    for (const {key, version} of missing) {
      const row = replica.getRow(key);
      const exists = row?.text !== undefined && row.version < version;
      if (!exists || isCertain(row, lastReturn, foundMs)) {
        replica.add({key, version}, source);
        continue;
      }
      replica.markInDoubt(key);
      const known = this.removals.get(key);
      if (known === undefined || known.version < row.version) {
        this.removals.set(key, {version, foundMs, certainMs});
        doubted.push(key);
      }
    }
    this.logDoubted(doubted, certainMs - foundMs);
  }

  /**
   * Removes the rows whose removal has become certain, and forgets those that exist again
   * or that a peer has reported as removed.
   * @param rows - Rows that the table has given, all that changed or exist.
   * @param asOfMs - Uptime of the table at which these were requested, in milliseconds.
   */
  settle(rows: readonly VersionedRow[], asOfMs: number): void {
    if (this.removals.size === 0) {
      return;
    }
    const {replica, source} = this.options;
    const kept = this.forgetExisting(rows);
    const removed: string[] = [];
    for (const [key, {version, certainMs}] of this.removals) {
      const row = replica.getRow(key);
      if (row?.text !== undefined && row.version > version) {
        kept.push(key);
        this.removals.delete(key);
      } else if (row?.text === undefined || asOfMs >= certainMs) {
        removed.push(key);
        this.removals.delete(key);
        replica.add({key, version}, source);
      }
    }
    this.logSettled(removed, kept);
  }

  /** A row that exists need not be newer to the replica, if the table was restored. */
  private forgetExisting(rows: readonly VersionedRow[]): string[] {
    const forgotten: string[] = [];
    for (const {key, text, version} of rows) {
      const removal = this.removals.get(key);
      if (text !== undefined && version > (removal?.version ?? Infinity)) {
        this.removals.delete(key);
        forgotten.push(key);
      }
    }
    return forgotten;
  }

  private logDoubted(keys: readonly string[], waitMs: number): void {
    if (keys.length > 0) {
      this.options.log.info('removals_doubted', {
        table: this.options.table,
        rows: keys.length,
        keys: formatKeys(keys),
        wait_ms: Math.round(waitMs),
        detail:
          'not written since the last outage, in which they may have expired',
      });
    }
  }

  private logSettled(
    removed: readonly string[],
    kept: readonly string[],
  ): void {
    if (removed.length + kept.length > 0) {
      this.options.log.info('removals_settled', {
        table: this.options.table,
        removed: removed.length,
        kept: kept.length,
        keys: formatKeys([...removed, ...kept]),
      });
    }
  }
}

/** Returns whether a row that the table lacks was removed and did not expire. */
function isCertain(
  row: VersionedRow,
  {uptimeMs, version = Infinity}: TableReturn,
  nowUptimeMs: number,
): boolean {
  return row.version > version || nowUptimeMs > uptimeMs + REMOVAL_GRACE_MS;
}

function formatKeys(keys: readonly string[]): string {
  const more = keys.length > MAX_LOGGED_KEYS ? ',...' : '';
  return keys.slice(0, MAX_LOGGED_KEYS).join(',') + more;
}

/**
 * Exports the rows in doubt of each table.
 * @param metrics - Metrics to declare the gauges in.
 * @param tables - The removals in doubt, by table.
 */
export function exportDoubtfulRemovals(
  metrics: Metrics,
  tables: ReadonlyMap<string, DoubtfulRemovals>,
): void {
  metrics.addLabelledGauge(
    'rows_in_doubt',
    'Rows that the table lacks and this host keeps, as they may have expired in an outage',
    () => [...tables].map(([table, rows]) => [{table}, rows.count()]),
  );
  metrics.addLabelledGauge(
    'oldest_row_in_doubt_ms',
    'Uptime of the store since the oldest of these rows was found missing, in ms',
    () => [...tables].map(([table, rows]) => [{table}, rows.getOldestMs()]),
  );
}
