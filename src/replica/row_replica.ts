import {getVersionEra} from '../table/index.js';
import {GetSequence, isNewerAcrossEras} from './is_newer_across_eras.js';
import {ReplicaState} from './replica_state.js';
import {RowChanges} from './row_changes.js';
import {RowDigest} from './row_digest.js';
import {VersionedRow} from './versioned_row.js';

/** Called with a row whose significant content has changed. */
export type RowListener = (row: VersionedRow, source: string) => void;

/** Options of a replica. */
export interface RowReplicaOptions {
  /**
   * Returns the significant content of a row; a row that differs only in the rest is
   * no update for peers.
   */
  readonly getSignificantContent: (text: string) => string;
  /** Orders rows of different eras of the table; by default, no row has a sequence. */
  readonly getSequence?: GetSequence;
}

/** Rows that changed between two versions of a table, as read from the table. */
export interface TableChanges {
  readonly rows: readonly VersionedRow[];
  /** The rows are all that changed after this version. */
  readonly after: number;
  /** Version up to which the rows are complete. */
  readonly version: number;
}

/** Position up to which changes were forwarded to peers. */
export interface ForwardPosition {
  /** Version up to which changes were forwarded. */
  readonly version: number;
  /** See `StoredRow.changeNumber`. */
  readonly changeNumber: number;
}

/** A row, and when its significant content last changed. */
interface StoredRow {
  readonly row: VersionedRow;
  /** The text of the row, or the last one before it was removed. */
  readonly lastText: string | undefined;
  /** The significant content; `undefined` for a removed row. */
  readonly content: string | undefined;
  /** Table version at which the significant content last changed. */
  readonly contentVersion: number;
  /** Number of this change, in the order in which changes arrived at this replica. */
  readonly changeNumber: number;
}

/** Maximum number of removed rows kept; the oldest are dropped beyond that. */
const MAX_REMOVED = 1000;

/**
 * Copy of one table, updated from the table and from peers in any order.
 *
 * Rows are merged by version, so a delayed, stale or repeated answer never reverts a
 * row; see `isNewerAcrossEras` for a table that was restored from a copy. The version up to which the copy is complete is kept separately from the rows:
 * having a later row does not mean that no earlier one was missed.
 */
export class RowReplica {
  /** Whether another host was found to have other rows at the same version. */
  private isDifferent = false;
  private readonly rows = new Map<string, StoredRow>();
  private readonly listeners: RowListener[] = [];
  private readonly digest = new RowDigest();
  /** Rows that may have been removed, each with its last known version. */
  private readonly inDoubt = new Map<string, number>();
  /** Version up to which every change of significant content is merged. */
  private completeVersion = 0;
  /** Version of the last reading of the whole table by this host. */
  private readVersion = 0;
  /** Version after which every removal is kept. */
  private rememberedVersion = 0;
  /** Highest version known to contain a change of significant content. */
  private changedVersion = 0;
  private changeNumber = 0;
  private removedCount = 0;

  constructor(private readonly options: RowReplicaOptions) {}

  /** Registers a listener for rows whose significant content changes. */
  addListener(listener: RowListener): void {
    this.listeners.push(listener);
  }

  /**
   * Returns the version up to which all changes of significant content are merged. Rows
   * in doubt limit it to their last known version, as they may have changed since.
   */
  getVersion(): number {
    const known = Math.min(this.completeVersion, this.changedVersion);
    return Math.min(known, ...this.inDoubt.values());
  }

  /** Returns the version and digest to report to peers. */
  getState(): ReplicaState {
    return {version: this.getVersion(), digest: this.digest.get()};
  }

  /** Records that another host has other rows at the same version: one of both missed a change. */
  markDifferent(): void {
    this.isDifferent = true;
  }

  /** Returns whether a difference was recorded since the last call. */
  takeDifference(): boolean {
    const {isDifferent} = this;
    this.isDifferent = false;
    return isDifferent;
  }

  /**
   * Marks a row as possibly removed. This lowers the version of the replica, so that
   * peers are asked for later changes until one settles the question.
   */
  markInDoubt(key: string): void {
    const stored = this.rows.get(key);
    if (stored?.row.text !== undefined) {
      this.inDoubt.set(key, stored.row.version);
    }
  }

  /** Returns a row as last merged, without text if it was removed. */
  getRow(key: string): VersionedRow | undefined {
    return this.rows.get(key)?.row;
  }

  /**
   * Lists the stored rows, up to a reading's version, that the reading lacks.
   * @param rows - All rows of the reading.
   * @param version - Table version of the reading.
   * @returns Their removals, at that version.
   */
  listMissing(rows: readonly VersionedRow[], version: number): VersionedRow[] {
    const present = new Set(rows.map(row => row.key));
    const missing: VersionedRow[] = [];
    for (const {row} of this.rows.values()) {
      const isOlder = row.text !== undefined && row.version <= version;
      if (isOlder && !present.has(row.key)) {
        missing.push({key: row.key, version});
      }
    }
    return missing;
  }

  /** Returns the text of a row; `undefined` if it does not exist. */
  getText(key: string): string | undefined {
    return this.rows.get(key)?.row.text;
  }

  /**
   * Lists the rows whose text has a minimum length.
   * @param minLength - The length, in UTF-16 code units.
   */
  listLongTexts(minLength: number): {key: string; text: string}[] {
    const long: {key: string; text: string}[] = [];
    for (const {row} of this.rows.values()) {
      const {key, text} = row;
      if (text !== undefined && text.length >= minLength) {
        long.push({key, text});
      }
    }
    return long;
  }

  /**
   * Lists the rows whose significant content changed after a version, or the whole table
   * if removals after that version may have been missed or dropped.
   */
  listChangesSince(version: number): RowChanges {
    const isWhole = version < this.rememberedVersion;
    const rows: VersionedRow[] = [];
    for (const {row, contentVersion} of this.rows.values()) {
      const isIncluded = isWhole
        ? row.text !== undefined
        : contentVersion > version;
      if (isIncluded) {
        rows.push(row);
      }
    }
    const state = this.getState();
    return isWhole ? {rows, state} : {rows, after: version, state};
  }

  /**
   * Lists the changes that arrived since the last ones were forwarded, including rows of
   * earlier versions that arrived late.
   * @param position - Position after the last forwarding; `undefined` at first.
   */
  listChangesToForward(position: ForwardPosition | undefined): RowChanges {
    const after = Math.max(position?.version ?? 0, this.rememberedVersion);
    const rows: VersionedRow[] = [];
    for (const stored of this.rows.values()) {
      const isRecent = stored.changeNumber > (position?.changeNumber ?? 0);
      if (isRecent || stored.contentVersion > after) {
        rows.push(stored.row);
      }
    }
    return {rows, after, state: this.getState()};
  }

  /** Returns the position from which the next `listChangesToForward` is to continue. */
  getForwardPosition(): ForwardPosition {
    return {version: this.getVersion(), changeNumber: this.changeNumber};
  }

  /**
   * Merges a single row; says nothing about the other rows.
   * @param row - The row.
   * @param source - Origin of the row, passed to the listeners.
   */
  add(row: VersionedRow, source: string): void {
    const stored = this.rows.get(row.key);
    if (!this.isNewer(row, stored)) {
      return;
    }
    this.inDoubt.delete(row.key);
    const content = this.readContent(row);
    const isChanged = stored === undefined || stored.content !== content;
    this.store(row, content, stored);
    if (!isChanged) {
      return;
    }
    this.changedVersion = Math.max(this.changedVersion, row.version);
    this.trim();
    for (const listener of this.listeners) {
      listener(row, source);
    }
  }

  private isNewer(row: VersionedRow, stored: StoredRow | undefined): boolean {
    if (stored === undefined) {
      return row.version > this.getAbsentVersion();
    }
    if (getVersionEra(row.version) === getVersionEra(stored.row.version)) {
      return row.version > stored.row.version;
    }
    const {getSequence = () => undefined} = this.options;
    return isNewerAcrossEras(row, stored, getSequence);
  }

  /**
   * Merges a reading of the whole table. Stored rows that it lacks are not removed here;
   * rows that are not stored and not in the reading are no longer accepted from peers up
   * to the version of the reading.
   * @param rows - All rows of the reading.
   * @param version - Table version of the reading.
   * @param source - Origin of the rows, passed to the listeners.
   */
  addReading(
    rows: readonly VersionedRow[],
    version: number,
    source: string,
  ): void {
    for (const row of rows) {
      this.add(row, source);
    }
    this.readVersion = Math.max(this.readVersion, version);
    // Removals of absent rows up to this version are ignored and cannot be listed.
    this.rememberedVersion = Math.max(this.rememberedVersion, version);
  }

  /**
   * Merges changes read from the table.
   * @param changes - The changes.
   * @param source - Origin of the changes, passed to the listeners.
   */
  addChanges({rows, after, version}: TableChanges, source: string): void {
    for (const row of rows) {
      this.add(row, source);
    }
    if (after <= this.completeVersion) {
      this.completeVersion = Math.max(this.completeVersion, version);
    }
  }

  /**
   * Merges changes that a peer sent.
   * @param changes - The changes.
   * @param source - The peer, passed to the listeners.
   * @returns Whether this replica now has everything that the peer has.
   */
  addPeerChanges({rows, after, state}: RowChanges, source: string): boolean {
    if (after === undefined) {
      this.addSnapshot(rows, state.version, source);
      return true;
    }
    const isContiguous = after <= this.completeVersion;
    for (const row of rows) {
      this.add(row, source);
    }
    if (isContiguous) {
      this.completeVersion = Math.max(this.completeVersion, state.version);
      this.changedVersion = Math.max(this.changedVersion, state.version);
    }
    return isContiguous || this.confirm(state);
  }

  /**
   * Returns whether this replica has the same rows as a peer's. If so, it becomes
   * complete up to the peer's version, though it may have missed rows that were added
   * and removed in between.
   */
  confirm(state: ReplicaState): boolean {
    if (!this.hasSameRows(state)) {
      return false;
    }
    this.setComplete(state.version);
    return true;
  }

  /**
   * Merges the whole table as of one version: stored rows that it lacks are removed,
   * unless they are newer.
   * @param rows - All rows.
   * @param version - Table version of the rows.
   * @param source - Origin of the rows, passed to the listeners.
   */
  addSnapshot(
    rows: readonly VersionedRow[],
    version: number,
    source: string,
  ): void {
    this.inDoubt.clear();
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
    this.setComplete(version);
  }

  /**
   * Marks this replica as having the rows of the table at a version, though it may have
   * missed rows that were added and removed before.
   */
  setComplete(version: number): void {
    if (version <= this.completeVersion) {
      return;
    }
    this.completeVersion = version;
    this.changedVersion = Math.max(this.changedVersion, version);
    this.rememberedVersion = Math.max(this.rememberedVersion, version);
  }

  /** Returns whether this replica has the same digest as another. */
  hasSameRows({digest}: ReplicaState): boolean {
    return this.digest.get() === digest;
  }

  /** Returns the version up to which a row that is not stored is known to be absent. */
  private getAbsentVersion(): number {
    return Math.max(this.completeVersion, this.readVersion);
  }

  private readContent({text}: VersionedRow): string | undefined {
    return text === undefined
      ? undefined
      : this.options.getSignificantContent(text);
  }

  /** Stores a row in place of its previous version; the latest row is the last. */
  private store(
    row: VersionedRow,
    content: string | undefined,
    before: StoredRow | undefined,
  ): void {
    this.rows.delete(row.key);
    const lastText = row.text ?? before?.lastText;
    if (before !== undefined && before.content === content) {
      this.rows.set(row.key, {...before, row, lastText});
      return;
    }
    this.subtractFromTotals(row.key, before);
    this.rows.set(row.key, {
      row,
      lastText,
      content,
      contentVersion: row.version,
      changeNumber: ++this.changeNumber,
    });
    if (content === undefined) {
      this.removedCount++;
    } else {
      this.digest.add(row.key, content);
    }
  }

  private subtractFromTotals(key: string, stored: StoredRow | undefined): void {
    if (stored === undefined) {
      return;
    }
    if (stored.content === undefined) {
      this.removedCount--;
    } else {
      this.digest.remove(key, stored.content);
    }
  }

  private trim(): void {
    if (this.removedCount <= MAX_REMOVED) {
      return;
    }
    for (const [key, {row, contentVersion}] of this.rows) {
      if (row.text === undefined) {
        this.rows.delete(key);
        this.removedCount--;
        this.rememberedVersion = Math.max(
          this.rememberedVersion,
          contentVersion,
        );
        return;
      }
    }
  }
}
