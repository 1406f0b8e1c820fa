import {Log} from '../log/index.js';
import {ConfigurationView, createView} from './configuration_view.js';
import {
  ConfigurationDelta,
  getRecordKey,
  StoredRecord,
} from './stored_record.js';

/** Told of every step to a higher revision. */
export type RevisionListener = (view: ConfigurationView) => void;

/**
 * The configuration in force on this host.
 *
 * It steps only to higher revisions, so what was once in force never comes
 * back, whatever a peer or the table says.
 */
export class ConfigurationStore {
  private records = new Map<string, StoredRecord>();
  private currentView: ConfigurationView;
  private readonly listeners = new Set<RevisionListener>();

  constructor(private readonly log: Log) {
    this.currentView = createView(0, []).view;
  }

  /** Returns the records in force, parsed. */
  getView(): ConfigurationView {
    return this.currentView;
  }

  /** Returns the revision in force; 0 while nothing has been learnt. */
  getRevision(): number {
    return this.currentView.revision;
  }

  /** Returns one stored record, deleted ones included. */
  getRecord(key: string): StoredRecord | undefined {
    return this.records.get(key);
  }

  /** Returns every stored record, deleted ones included. */
  listRecords(): readonly StoredRecord[] {
    return [...this.records.values()];
  }

  /** Returns what changed after a revision. */
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
   * Steps to the revision of a delta, if it is higher and leaves no gap.
   * @param delta - What changed.
   * @param source - Where it came from, for the log.
   * @returns Whether the revision rose.
   */
  apply(delta: ConfigurationDelta, source: string): boolean {
    const current = this.getRevision();
    if (delta.revision <= current || delta.after > current) {
      return false;
    }
    const next = new Map(this.records);
    for (const record of delta.records) {
      const key = getRecordKey(record.kind, record.name);
      const known = next.get(key);
      if (known === undefined || known.revision < record.revision) {
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
   * Forgets everything; only the broken variant of a proof does that.
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
