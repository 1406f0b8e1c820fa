import {Log} from '../log/index.js';
import {Random} from '../random/index.js';
import {ABSENT, Row, StepKind, TableService} from '../table/index.js';
import {CancelTimer, Clock} from '../time/index.js';
import {KnownVersions} from './version_history.js';

/** Dependencies of a `VersionRecord`. */
export interface VersionRecordOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly table: TableService;
  /** Returns the versions that this host knows. */
  readonly getKnown: () => KnownVersions;
  /** Returns the time for which a stream can be taken up, in milliseconds. */
  readonly getLifeMs: () => number;
}

/** Table row of the versions at which streams that can still be taken up began. */
interface RecordRow {
  /** Era of the table in which it was written; an older one may lack versions. */
  readonly era: number;
  /** Versions by service. A service that is not listed has unknown ones, too. */
  readonly services: Readonly<Record<string, readonly string[]>>;
}

const KEY = 'stream-versions';
/**
 * Longest delay of a reading after a version was learned, in milliseconds, so that not all
 * hosts read at once. It is part of the time before new streams begin at the version.
 */
const MAX_DELAY_MS = 500;
/** Delay before the next try if the table cannot be read or written, in milliseconds. */
const RETRY_MS = 500;
/**
 * Time after which new streams begin at a version that cannot be stored, in milliseconds. A
 * host that does not reach the table would otherwise crowd the servers of the old version.
 */
const MAX_WAIT_MS = 10_000;
/** Longest content of the row, in characters; the table takes 65,536 bytes. */
const MAX_LENGTH = 60_000;

/**
 * Keeps the versions at which streams began in the table, so that they are known after all
 * hosts were killed.
 *
 * A version is added before new streams begin at it, and removed after it has not been known
 * for as long as a stream can be taken up. A service is added by a host that knows all its
 * versions.
 */
export class VersionRecord {
  private row: RecordRow | undefined;
  /** Versions that the row lists, or whose service it did not list, in the era of the row. */
  private readonly recorded = new Set<string>();
  /** When this host first saw a listed version that it does not know, monotonic ms. */
  private readonly foreignMs = new Map<string, number>();
  /** When a version that is not recorded was first asked for, monotonic milliseconds. */
  private readonly waitingMs = new Map<string, number>();
  private stopped: AbortSignal | undefined;
  private cancelTimer: CancelTimer | undefined;
  /** When the row is read next, monotonic milliseconds. */
  private dueMs = Number.POSITIVE_INFINITY;
  private isSynchronizing = false;

  constructor(private readonly options: VersionRecordOptions) {}

  /** Starts to read and write the row when needed, until aborted. */
  start(signal: AbortSignal): void {
    this.stopped = signal;
    this.update();
  }

  /** Reads the row shortly, since a version has become known. */
  update(): void {
    this.schedule(MAX_DELAY_MS * this.options.random.next());
  }

  /** Returns whether new streams may begin at a version. */
  isRecorded(service: string, version: string): boolean {
    const key = toKey(service, version);
    if (this.isCurrent() && this.recorded.has(key)) {
      return true;
    }
    this.schedule(RETRY_MS);
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = this.waitingMs.get(key) ?? nowMs;
    this.waitingMs.set(key, sinceMs);
    return nowMs - sinceMs >= MAX_WAIT_MS;
  }

  /**
   * Lists the versions of a service that the table states; absent if it does not state them.
   */
  list(service: string): readonly string[] | undefined {
    return this.isCurrent() ? this.row?.services[service] : undefined;
  }

  private isCurrent(): boolean {
    return (
      this.row !== undefined && this.row.era === this.options.table.getEra()
    );
  }

  /** Reads the row after a delay, unless it is read before. */
  private schedule(ms: number): void {
    const {clock} = this.options;
    const dueMs = clock.monotonicMs() + ms;
    if (this.stopped?.aborted !== false || dueMs >= this.dueMs) {
      return;
    }
    this.cancelTimer?.();
    this.dueMs = dueMs;
    this.cancelTimer = clock.startTimer(ms, () => {
      this.dueMs = Number.POSITIVE_INFINITY;
      if (this.stopped?.aborted === false) {
        void this.synchronize();
      }
    });
  }

  private async synchronize(): Promise<void> {
    if (this.isSynchronizing) {
      this.schedule(RETRY_MS);
      return;
    }
    this.isSynchronizing = true;
    const isDone = await this.readAndWrite();
    this.isSynchronizing = false;
    if (!isDone) {
      this.schedule(RETRY_MS);
    } else if (!this.isSettled()) {
      this.schedule(this.options.getLifeMs());
    }
  }

  /** Returns whether the table states what this host knows. */
  private async readAndWrite(): Promise<boolean> {
    const {table, getKnown} = this.options;
    const known = getKnown();
    const found = await table.get(KEY);
    const era = table.getEra();
    if (found.isErr || era === undefined) {
      return false;
    }
    const current = toCurrent(found.value, era);
    this.keep(current, known);
    const next = this.createNext(current, known);
    if (JSON.stringify(next) === JSON.stringify(current)) {
      return true;
    }
    const ifVersion = found.value?.version ?? ABSENT;
    const written = await table.transact([
      {kind: StepKind.PUT, key: KEY, ifVersion, value: next},
    ]);
    if (written.isErr) {
      return false;
    }
    this.keep(next, known);
    this.options.log.info('stream_versions_recorded', {
      services: Object.keys(next.services).length,
      era,
    });
    return true;
  }

  /** Keeps the content of the row, and which of the known versions need not be added. */
  private keep(row: RecordRow, {services}: KnownVersions): void {
    if (this.row?.era !== row.era) {
      this.recorded.clear();
      this.foreignMs.clear();
    }
    this.row = row;
    for (const [service, versions] of services) {
      const listed = row.services[service];
      for (const version of versions) {
        const key = toKey(service, version);
        this.foreignMs.delete(key);
        if (listed === undefined || listed.includes(version)) {
          this.waitingMs.delete(key);
          this.recorded.add(key);
        }
      }
    }
  }

  private createNext(current: RecordRow, known: KnownVersions): RecordRow {
    const services: Record<string, readonly string[]> = {};
    const names = [...Object.keys(current.services), ...known.services.keys()];
    let length = 0;
    for (const service of new Set(names)) {
      const versions = this.chooseVersions(service, current, known);
      length += JSON.stringify([service, versions]).length;
      if (versions.length > 0 && length <= MAX_LENGTH) {
        services[service] = versions;
      }
    }
    return {era: current.era, services};
  }

  /** Returns the versions to state of a service; none if they are not to be stated. */
  private chooseVersions(
    service: string,
    current: RecordRow,
    {services, isComplete}: KnownVersions,
  ): readonly string[] {
    const own = services.get(service) ?? [];
    const listed = current.services[service];
    if (listed === undefined) {
      return isComplete ? [...own].sort() : [];
    }
    const kept = listed.filter(
      version =>
        own.includes(version) ||
        !isComplete ||
        !this.isOutdated(toKey(service, version)),
    );
    return [...new Set([...kept, ...own])].sort();
  }

  /** Returns whether no stream can be taken up that began at a version this host does not know. */
  private isOutdated(key: string): boolean {
    const nowMs = this.options.clock.monotonicMs();
    const sinceMs = this.foreignMs.get(key) ?? nowMs;
    this.foreignMs.set(key, sinceMs);
    return nowMs - sinceMs >= this.options.getLifeMs();
  }

  /** Returns whether the row needs no change as long as no version becomes known. */
  private isSettled(): boolean {
    const {services = {}} = this.row ?? {};
    const isSole = Object.values(services).every(({length}) => length === 1);
    const known = [...this.options.getKnown().services.keys()];
    return isSole && known.every(service => services[service] !== undefined);
  }
}

/** Returns what the row states in an era; nothing if it was written in another one. */
function toCurrent(row: Row | undefined, era: number): RecordRow {
  const value = row?.value as RecordRow | undefined;
  return value?.era === era ? value : {era, services: {}};
}

function toKey(service: string, version: string): string {
  return `${service}\n${version}`;
}
