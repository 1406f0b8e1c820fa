import {VersionedRow} from './versioned_row.js';

/** Called with a row whose content has changed. */
export type RowListener = (row: VersionedRow, source: string) => void;

/** What a replica works with. */
export interface RowReplicaOptions {
  /**
   * Returns what of a row matters; a row that differs in nothing else is not
   * news for peers.
   */
  readonly getSubstance: (text: string) => string;
}

/** A row, and the version since which its substance stands. */
interface HeldRow {
  row: VersionedRow;
  newsVersion: number;
}

/** Removed rows remembered; the oldest are forgotten beyond. */
const MAX_REMOVED = 1000;

/**
 * A copy of one table, fed by the table and by peers in any order.
 *
 * Rows are merged by version, so a late, stale or repeated answer never takes
 * a row back.
 */
export class RowReplica {
  private readonly rows = new Map<string, HeldRow>();
  private readonly listeners: RowListener[] = [];
  /** Rows that may be gone, each with the version at which it was known. */
  private readonly doubted = new Map<string, number>();
  private newsVersion = 0;

  constructor(private readonly options: RowReplicaOptions) {}

  /** Has a function called for each row whose substance changes. */
  addListener(listener: RowListener): void {
    this.listeners.push(listener);
  }

  /**
   * Returns the version up to which all that changed in substance is merged; rows
   * in doubt may have changed since they were known.
   */
  getNewsVersion(): number {
    return Math.min(this.newsVersion, ...this.doubted.values());
  }

  /** Notes that a row may be gone: peers who know are asked until it is told. */
  doubt(key: string): void {
    const held = this.rows.get(key);
    if (held?.row.text !== undefined) {
      this.doubted.set(key, held.row.version);
    }
  }

  /** Notes that rows may be gone which a reading of the table did not have. */
  doubtMissing(rows: readonly VersionedRow[]): void {
    const present = new Set(rows.map(row => row.key));
    for (const {row} of this.rows.values()) {
      if (!present.has(row.key)) {
        this.doubt(row.key);
      }
    }
  }

  /** Returns a row that exists. */
  getText(key: string): string | undefined {
    return this.rows.get(key)?.row.text;
  }

  /** Returns the rows that changed in substance after a version. */
  listNewsSince(version: number): VersionedRow[] {
    const news: VersionedRow[] = [];
    for (const held of this.rows.values()) {
      if (held.newsVersion > version) {
        news.push({...held.row, version: held.row.version});
      }
    }
    return news;
  }

  /**
   * Merges one row.
   * @param row - What was heard.
   * @param source - Where from, for the log.
   */
  add(row: VersionedRow, source: string): void {
    const held = this.rows.get(row.key);
    if (held !== undefined && held.row.version >= row.version) {
      return;
    }
    this.doubted.delete(row.key);
    const changed = this.isChanged(held, row);
    const newsVersion = changed ? row.version : (held?.newsVersion ?? 0);
    this.rows.delete(row.key);
    this.rows.set(row.key, {row, newsVersion});
    if (!changed) {
      return;
    }
    this.newsVersion = Math.max(this.newsVersion, row.version);
    this.trim();
    for (const listener of this.listeners) {
      listener(row, source);
    }
  }

  /**
   * Merges the whole table as it was at one version: what it lacks was removed.
   * @param rows - All rows.
   * @param version - Version of the table they were read at.
   * @param source - Where from, for the log.
   */
  addSnapshot(
    rows: readonly VersionedRow[],
    version: number,
    source: string,
  ): void {
    this.doubted.clear();
    const present = new Set<string>();
    for (const row of rows) {
      present.add(row.key);
      this.add(row, source);
    }
    for (const {row} of [...this.rows.values()]) {
      if (row.text !== undefined && !present.has(row.key)) {
        this.add({key: row.key, version}, source);
      }
    }
  }

  /** Notes that a peer's news up to this version are merged. */
  setCaughtUp(version: number): void {
    this.newsVersion = Math.max(this.newsVersion, version);
  }

  private isChanged(held: HeldRow | undefined, row: VersionedRow): boolean {
    const {getSubstance} = this.options;
    const before = held?.row.text;
    if (before === undefined || row.text === undefined) {
      return before !== row.text;
    }
    return (
      before !== row.text && getSubstance(before) !== getSubstance(row.text)
    );
  }

  private trim(): void {
    if (this.rows.size <= MAX_REMOVED) {
      return;
    }
    for (const [key, held] of this.rows) {
      if (held.row.text === undefined) {
        this.rows.delete(key);
        return;
      }
    }
  }
}
