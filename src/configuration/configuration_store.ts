import {Log} from '../log/index.js';
import {ConfigurationView, createView} from './configuration_view.js';
import {
  ConfigurationDelta,
  getRecordKey,
  StoredRecord,
} from './stored_record.js';

/** Called after each change to a higher revision. */
export type RevisionListener = (view: ConfigurationView) => void;

/**
 * The configuration that is in force on this host.
 *
 * The revision only increases. Deltas of the current or an older revision are
 * ignored, so a peer or the table cannot restore an outdated configuration.
 */
export class ConfigurationStore {
  private records = new Map<string, StoredRecord>();
  private currentView: ConfigurationView;
  private readonly listeners = new Set<RevisionListener>();

  constructor(private readonly log: Log) {
    this.currentView = createView(0, []).view;
  }

  /** Returns the parsed records that are in force. */
  getView(): ConfigurationView {
    return this.currentView;
  }

  /** Returns the revision in force; 0 before the first delta is applied. */
  getRevision(): number {
    return this.currentView.revision;
  }

  /**
   * Returns one stored record, also if it is deleted.
   * @param key - See `getRecordKey`.
   */
  getRecord(key: string): StoredRecord | undefined {
    return this.records.get(key);
  }

  /** Returns all stored records, including deleted ones. */
  listRecords(): readonly StoredRecord[] {
    return [...this.records.values()];
  }

  /** Returns the records that changed after a revision, including deleted ones. */
  getDelta(after: number): ConfigurationDelta {
    const records: StoredRecord[] = [];
    for (const record of this.records.values()) {
      if (record.revision > after) {
        records.push(record);
      }
    }
    return {after, revision: this.getRevision(), records};
  }

  /**
   * Applies a delta if its revision is higher than the current one and it
   * leaves out no revision in between. Then calls the listeners.
   * @param delta - The changed records.
   * @param source - Origin of the delta, for the log.
   * @returns Whether the delta was applied.
   */
  apply(delta: ConfigurationDelta, source: string): boolean {
    const current = this.getRevision();
    if (delta.revision <= current || delta.after > current) {
      return false;
    }
    const next = new Map(this.records);
    for (const record of delta.records) {
      const key = getRecordKey(record.kind, record.name);
      const existing = next.get(key);
      if (existing === undefined || existing.revision < record.revision) {
        next.set(key, record);
      }
    }
    const parsed = createView(delta.revision, next.values());
    this.records = next;
    this.currentView = parsed.view;
    this.log.info('configuration_in_force', {
      revision: delta.revision,
      previous: current,
      changed: delta.records.length,
      unreadable: parsed.unreadable.join(',') || undefined,
      source,
    });
    for (const listener of this.listeners) {
      listener(this.currentView);
    }
    return true;
  }

  /**
   * Removes all records and resets the revision to 0. Only for a deliberately
   * faulty variant that the checks in src/prove must detect.
   * @internal
   */
  protected reset(): void {
    this.records = new Map();
    this.currentView = createView(0, []).view;
  }

  /** Registers a listener; returns a function that removes it. */
  addListener(listener: RevisionListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
