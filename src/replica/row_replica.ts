import {ReplicaState} from './replica_state.js';
import {RowChanges} from './row_changes.js';
import {RowDigest} from './row_digest.js';
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

/** Rows that changed between two versions of a table, as the table told. */
export interface TableChanges {
  readonly rows: readonly VersionedRow[];
  /** Version after which these are all that changed. */
  readonly after: number;
  /** Version up to which they are. */
  readonly version: number;
}

/** What was told last to others, to go on from. */
export interface ToldState {
  /** Version up to which they were told. */
  readonly version: number;
  /** See `HeldRow.changeNumber`. */
  readonly changeNumber: number;
}

/** A row, and since when its substance stands. */
interface HeldRow {
  readonly row: VersionedRow;
  /** What of the row matters; absent for a removed one. */
  readonly substance: string | undefined;
  /** Version of the table at which the substance became so. */
  readonly newsVersion: number;
  /** Counts the changes of substance in the order in which they came here. */
  readonly changeNumber: number;
}

/** Removed rows remembered; the oldest are forgotten beyond. */
const MAX_REMOVED = 1000;

/**
 * A copy of one table, fed by the table and by peers in any order.
 *
 * Rows are merged by version, so a late, stale or repeated answer never takes
 * a row back. Which version the copy is complete up to is kept apart from the rows
 * it has: a later row tells nothing of an earlier one that was missed.
 */
export class RowReplica {
  private readonly rows = new Map<string, HeldRow>();
  private readonly listeners: RowListener[] = [];
  private readonly digest = new RowDigest();
  /** Rows that may be gone, each with the version at which it was known. */
  private readonly doubted = new Map<string, number>();
  /** Version up to which every change in substance is merged. */
  private completeVersion = 0;
  /** Version at which the whole table was read here last. */
  private readVersion = 0;
  /** Version after which every removal is remembered. */
  private rememberedVersion = 0;
  /** Highest version at which anything changed in substance. */
  private changedVersion = 0;
  private changeNumber = 0;
  private removedCount = 0;

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
    const known = Math.min(this.completeVersion, this.changedVersion);
    return Math.min(known, ...this.doubted.values());
  }

  /** Returns what this replica holds, to tell peers. */
  getState(): ReplicaState {
    return {version: this.getNewsVersion(), digest: this.digest.get()};
  }

  /** Notes that a row may be gone: peers who know are asked until it is told. */
  doubt(key: string): void {
    const held = this.rows.get(key);
    if (held?.row.text !== undefined) {
      this.doubted.set(key, held.row.version);
    }
  }

  /**
   * Marks rows as doubted that a reading of the table lacks.
   * @param rows - All rows.
   * @param version - Version of the table they were read at.
   * @returns Whether the reading lacks none of the rows held.
   */
  doubtMissing(rows: readonly VersionedRow[], version: number): boolean {
    const missing = this.listMissingKeys(rows, version);
    for (const key of missing) {
      this.doubt(key);
    }
    return missing.length === 0;
  }

  /** Returns a row that exists. */
  getText(key: string): string | undefined {
    return this.rows.get(key)?.row.text;
  }

  /**
   * Tells a peer what changed in substance after a version; the whole table where
   * removals since then may have been missed or forgotten.
   */
  listChangesSince(version: number): RowChanges {
    const isWhole = version < this.rememberedVersion;
    const rows: VersionedRow[] = [];
    for (const {row, newsVersion} of this.rows.values()) {
      const isTold = isWhole ? row.text !== undefined : newsVersion > version;
      if (isTold) {
        rows.push(row);
      }
    }
    const state = this.getState();
    return isWhole ? {rows, state} : {rows, after: version, state};
  }

  /**
   * Tells peers what came here since they were told last, late or not.
   * @param told - What they were told last; nothing at first.
   */
  listChangesBeyond(told: ToldState | undefined): RowChanges {
    const after = Math.max(told?.version ?? 0, this.rememberedVersion);
    const rows: VersionedRow[] = [];
    for (const held of this.rows.values()) {
      const isLate = held.changeNumber > (told?.changeNumber ?? 0);
      if (isLate || held.newsVersion > after) {
        rows.push(held.row);
      }
    }
    return {rows, after, state: this.getState()};
  }

  /** Returns where `listChangesBeyond` is to go on after what it tells now. */
  getToldState(): ToldState {
    return {version: this.getNewsVersion(), changeNumber: this.changeNumber};
  }

  /**
   * Merges one row, which tells nothing of any other.
   * @param row - What was heard.
   * @param source - Where from, for the log.
   */
  add(row: VersionedRow, source: string): void {
    const held = this.rows.get(row.key);
    const knownVersion = held?.row.version ?? this.getAbsentVersion();
    if (row.version <= knownVersion) {
      return;
    }
    this.doubted.delete(row.key);
    const substance = this.readSubstance(row);
    const isChanged = held === undefined || held.substance !== substance;
    this.hold(row, substance, held);
    if (!isChanged) {
      return;
    }
    this.changedVersion = Math.max(this.changedVersion, row.version);
    this.trim();
    for (const listener of this.listeners) {
      listener(row, source);
    }
  }

  /**
   * Merges the whole table as it was read at one version, without taking what it lacks
   * for removed here; what others tell of rows from before that it lacks counts no more.
   * @param rows - All rows.
   * @param version - Version of the table they were read at.
   * @param source - Where from, for the log.
   * @returns Whether the reading lacks none of the rows held.
   */
  addReading(
    rows: readonly VersionedRow[],
    version: number,
    source: string,
  ): boolean {
    for (const row of rows) {
      this.add(row, source);
    }
    this.readVersion = Math.max(this.readVersion, version);
    // Removals of absent rows up to this version are ignored, and so cannot be listed.
    this.rememberedVersion = Math.max(this.rememberedVersion, version);
    return this.listMissingKeys(rows, version).length === 0;
  }

  /**
   * Merges what the table told of its changes.
   * @param changes - The changes.
   * @param source - Where from, for the log.
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
   * Merges what a peer told.
   * @param changes - What it told.
   * @param source - Which peer, for the log.
   * @returns Whether nothing that the peer has is missing here.
   */
  addTold({rows, after, state}: RowChanges, source: string): boolean {
    if (after === undefined) {
      this.addSnapshot(rows, state.version, source);
      return true;
    }
    const goesOn = after <= this.completeVersion;
    for (const row of rows) {
      this.add(row, source);
    }
    if (goesOn) {
      this.completeVersion = Math.max(this.completeVersion, state.version);
      this.changedVersion = Math.max(this.changedVersion, state.version);
    }
    return goesOn || this.confirm(state);
  }

  /**
   * Tells whether this replica holds what a peer's does, and notes that it is as
   * complete then, though it may not know what came and went between.
   */
  confirm(state: ReplicaState): boolean {
    if (!this.hasSameRows(state)) {
      return false;
    }
    this.setComplete(state.version);
    return true;
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
    this.setComplete(version);
  }

  /**
   * Notes that this holds what the table held at a version, though it may not know
   * what came and went before.
   */
  setComplete(version: number): void {
    if (version <= this.completeVersion) {
      return;
    }
    this.completeVersion = version;
    this.changedVersion = Math.max(this.changedVersion, version);
    this.rememberedVersion = Math.max(this.rememberedVersion, version);
  }

  /** Tells whether this replica has the same digest as another. */
  hasSameRows({digest}: ReplicaState): boolean {
    return this.digest.get() === digest;
  }

  /** Lists the keys of rows held, up to its version, that a reading lacks. */
  private listMissingKeys(
    rows: readonly VersionedRow[],
    version: number,
  ): string[] {
    const present = new Set(rows.map(row => row.key));
    const missing: string[] = [];
    for (const {row} of this.rows.values()) {
      const isOlder = row.text !== undefined && row.version <= version;
      if (isOlder && !present.has(row.key)) {
        missing.push(row.key);
      }
    }
    return missing;
  }

  /** Returns the version up to which a row that is not held was removed again. */
  private getAbsentVersion(): number {
    return Math.max(this.completeVersion, this.readVersion);
  }

  private readSubstance({text}: VersionedRow): string | undefined {
    return text === undefined ? undefined : this.options.getSubstance(text);
  }

  /** Holds a row in place of what was held before, the latest last. */
  private hold(
    row: VersionedRow,
    substance: string | undefined,
    before: HeldRow | undefined,
  ): void {
    this.rows.delete(row.key);
    if (before !== undefined && before.substance === substance) {
      this.rows.set(row.key, {...before, row});
      return;
    }
    this.takeOut(row.key, before);
    this.rows.set(row.key, {
      row,
      substance,
      newsVersion: row.version,
      changeNumber: ++this.changeNumber,
    });
    if (substance === undefined) {
      this.removedCount++;
    } else {
      this.digest.add(row.key, substance);
    }
  }

  private takeOut(key: string, held: HeldRow | undefined): void {
    if (held === undefined) {
      return;
    }
    if (held.substance === undefined) {
      this.removedCount--;
    } else {
      this.digest.remove(key, held.substance);
    }
  }

  private trim(): void {
    if (this.removedCount <= MAX_REMOVED) {
      return;
    }
    for (const [key, {row, newsVersion}] of this.rows) {
      if (row.text === undefined) {
        this.rows.delete(key);
        this.removedCount--;
        this.rememberedVersion = Math.max(this.rememberedVersion, newsVersion);
        return;
      }
    }
  }
}
