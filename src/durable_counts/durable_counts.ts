import {Result} from 'true-myth';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {PastSpending, Quota} from '../quota/index.js';
import {
  ABSENT,
  RestorationWatch,
  Row,
  StepKind,
  TableFailure,
  TableFailureKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';
import {HostUsage, UsageLedger, WindowUsage} from '../usage/index.js';
import {
  Counts,
  CountsRow,
  decodeCounts,
  encodeCounts,
  OriginUsage,
} from './counts_row.js';

/** Dependencies of the durable counts. */
export interface DurableCountsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly table: TableService;
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  readonly quota: Pick<Quota, 'listRecentSpending' | 'restoreSpending'>;
  /** Host and incarnation of this process. */
  readonly origin: string;
  readonly dataCentre: string;
  readonly isEnabled: () => boolean;
  /** Returns whether this host writes the row of its data centre. */
  readonly isWriter: () => boolean;
  /** Returns the longest interval between writes, in milliseconds. */
  readonly getIntervalMs: () => number;
  /** Returns the time of the table's clock; `undefined` if it is not known. */
  readonly readSharedMs: () => number | undefined;
  /** Returns reference time in Unix milliseconds. */
  readonly getReferenceMs: () => number;
  readonly windowMs: number;
  /** Time after the end of a window from which its report is too late, in milliseconds. */
  readonly deadlineMs: number;
}

/** Pause between attempts to read the rows after the start, in milliseconds. */
const RETRY_MS = 300;
/**
 * Time after the start for which a host is not ready without the rows, in milliseconds. An
 * answer of the table takes some 10 ms; a host that never gets one serves nevertheless.
 */
const MAX_START_MS = 1000;
/**
 * Time after the start before this host decides on the counts of a window, in milliseconds:
 * until then, it may not know the hosts that can tell it their counts.
 */
const LEARNING_MS = 2000;
/**
 * Time after the end of a window until every host has told its counts, in milliseconds: a
 * heartbeat interval, and the message.
 */
const SETTLE_MS = 600;
/** Shortest pause between writes, in milliseconds: a timer may fire a little early. */
const MIN_PAUSE_MS = 50;
/** Age from which spending no longer matters, in milliseconds; see `SpendingHistory`. */
const MAX_SPENDING_AGE_MS = 10_000;
const PREFIX = 'durable-counts/';
const WRITES = 'durable_counts_writes';
const READS = 'durable_counts_reads';
const INVALID = 'durable_counts_invalid_rows';

/**
 * Stores usage counts and spending in the table, in one row of each data centre, and
 * restores them after the start. The row holds absolute counts by origin, of which the
 * highest count, so that it may be written and read any number of times.
 */
export class DurableCounts {
  private readonly startMs: number;
  private readonly restorations: RestorationWatch;
  private hasRestored = false;
  private writtenVersion: number | undefined;
  private writtenText = '';
  private bytes = 0;
  private writtenBytes = 0;

  constructor(private readonly options: DurableCountsOptions) {
    const {clock, metrics} = options;
    this.startMs = clock.monotonicMs();
    this.restorations = new RestorationWatch(options.table);
    metrics.addCounter(WRITES, 'Writes of durable counts, by result');
    metrics.addCounter(READS, 'Reads of durable counts, by result');
    metrics.addCounter(INVALID, 'Rows of durable counts that are not valid');
    metrics.addGauge(
      'durable_counts_row_bytes',
      'Length of the row of durable counts as last written',
      () => this.bytes,
    );
    metrics.addGauge(
      'durable_counts_written_bytes',
      'Length of all rows of durable counts that were written',
      () => this.writtenBytes,
    );
  }

  /** Returns whether this host may serve: the counts are restored, or cannot be in time. */
  mayServe(): boolean {
    return (
      !this.options.isEnabled() ||
      this.hasRestored ||
      this.getRunningMs() >= MAX_START_MS
    );
  }

  /** Returns whether this host may decide on the counts of a window. */
  mayDecide(): boolean {
    return !this.options.isEnabled() || this.getRunningMs() >= LEARNING_MS;
  }

  /** Restores the counts, then writes them at intervals, until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, isEnabled, isWriter} = this.options;
    while (!signal.aborted) {
      if (isEnabled() && !this.hasRestored) {
        await this.readCounts();
      } else if (isEnabled() && isWriter()) {
        await this.write();
      }
      const isRetry = isEnabled() && !this.hasRestored;
      await clock.sleep(isRetry ? RETRY_MS : this.getPauseMs(), signal);
    }
  }

  /**
   * Reads the rows of all data centres and merges their counts into those of this host.
   * The first time, the spending is restored too.
   * @returns Whether the rows were read.
   */
  async readCounts(): Promise<boolean> {
    if (!this.options.isEnabled()) {
      return true;
    }
    const {clock, log, metrics, table} = this.options;
    const sentMs = clock.monotonicMs();
    const listed = await table.list(PREFIX);
    metrics.increment(READS, {result: listed.isOk ? 'ok' : listed.error.kind});
    if (listed.isErr) {
      log.warn('counts_not_read', {detail: listed.error.detail});
      return false;
    }
    const rows = listed.value.flatMap(row => this.merge(row) ?? []);
    if (!this.hasRestored) {
      this.hasRestored = true;
      this.restoreSpending(rows);
      this.logRestored(rows, clock.monotonicMs() - sentMs);
    }
    return true;
  }

  /**
   * Returns the time until the next write, in milliseconds. One of the writes of a window
   * is when all hosts have told their counts of the previous one.
   */
  private getPauseMs(): number {
    const {windowMs, getIntervalMs, getReferenceMs} = this.options;
    const stepMs = windowMs / Math.ceil(windowMs / getIntervalMs());
    const passedMs = (getReferenceMs() - SETTLE_MS) % stepMs;
    const pauseMs = stepMs - passedMs;
    return pauseMs < MIN_PAUSE_MS ? pauseMs + stepMs : pauseMs;
  }

  private getRunningMs(): number {
    return this.options.clock.monotonicMs() - this.startMs;
  }

  /**
   * Merges the windows of a row that may still be reported.
   * @returns The row; `undefined` if it is not valid.
   */
  private merge(row: Row): CountsRow | undefined {
    const {hostUsage, origin, metrics, log} = this.options;
    if (row.key === this.getKey()) {
      // The next write contains what was merged, and so may replace the row.
      this.writtenVersion = row.version;
    }
    const decoded = decodeCounts(row.value);
    if (decoded === undefined) {
      metrics.increment(INVALID);
      log.warn('counts_skipped', {row: row.key});
      return undefined;
    }
    for (const [other, usages] of decoded.usage) {
      if (other !== origin) {
        hostUsage.add(other, this.selectOpen(usages));
      }
    }
    return decoded;
  }

  /** Restores, for each customer, the spending of the row that knows most of it. */
  private restoreSpending(rows: readonly CountsRow[]): void {
    const {quota} = this.options;
    const best = new Map<string, PastSpending[]>();
    for (const row of rows) {
      const ageMs = this.getAgeMs(row);
      for (const [customer, slices] of row.spending) {
        const past = slices
          .map(({agoMs, units}) => ({agoMs: agoMs + ageMs, units}))
          .filter(({agoMs}) => agoMs < MAX_SPENDING_AGE_MS);
        if (sumUnits(past) > sumUnits(best.get(customer) ?? [])) {
          best.set(customer, past);
        }
      }
    }
    for (const [customer, past] of best) {
      quota.restoreSpending(customer, past);
    }
  }

  private logRestored(rows: readonly CountsRow[], tookMs: number): void {
    const windows = new Set<number>();
    const customers = new Set<string>();
    for (const {usage, spending} of rows) {
      for (const {window, counts} of usage.flatMap(([, usages]) =>
        this.selectOpen(usages),
      )) {
        windows.add(window);
        Object.keys(counts).forEach(customer => customers.add(customer));
      }
      [...spending.keys()].forEach(customer => customers.add(customer));
    }
    const ages = rows.map(row => Math.round(this.getAgeMs(row)));
    this.options.log.info('counts_restored', {
      rows: rows.length,
      windows: windows.size,
      customers: customers.size,
      ...(ages.length === 0 ? {} : {age_ms: Math.min(...ages)}),
      took_ms: Math.round(tookMs),
      after_ms: Math.round(this.getRunningMs()),
    });
  }

  private getAgeMs({writtenMs}: CountsRow): number {
    const sharedMs = this.options.readSharedMs() ?? Number.POSITIVE_INFINITY;
    return Math.max(0, sharedMs - writtenMs);
  }

  /** Writes what this host knows, if it has changed. */
  private async write(): Promise<void> {
    if (this.restorations.hasRestored()) {
      this.writtenText = '';
    }
    const {log, readSharedMs} = this.options;
    const sharedMs = readSharedMs();
    const counts = this.listCounts();
    const text = createFingerprint(counts);
    if (sharedMs === undefined || text === this.writtenText) {
      return;
    }
    const encoding = encodeCounts(counts, sharedMs);
    const written = await this.put(encoding.value);
    if (written.isErr) {
      const {kind, detail} = written.error;
      log.warn('counts_not_stored', {result: kind, detail});
      await this.resolve(written.error);
      return;
    }
    this.writtenVersion = written.value;
    this.writtenText = text;
    this.bytes = encoding.bytes;
    this.writtenBytes += encoding.bytes;
    log.info('counts_stored', {
      origins: encoding.value.usage.length,
      omitted: encoding.omitted,
      customers: encoding.value.customers.length,
      bytes: encoding.bytes,
    });
  }

  private async put(
    value: unknown,
  ): Promise<Result<number | undefined, TableFailure>> {
    const {table, metrics} = this.options;
    const key = this.getKey();
    const ifVersion = this.writtenVersion ?? ABSENT;
    const put = await table.transact([
      {kind: StepKind.PUT, key, ifVersion, value},
    ]);
    metrics.increment(WRITES, {result: put.isOk ? 'ok' : put.error.kind});
    return put.map(({versions}) => versions[key]);
  }

  /**
   * Merges the row that this host did not expect: that of another writer, an own one whose
   * write got no answer, or one of a restored table. The next write contains its counts.
   */
  private async resolve({kind}: TableFailure): Promise<void> {
    if (kind !== TableFailureKind.CONFLICT) {
      return;
    }
    const {table, metrics} = this.options;
    const found = await table.get(this.getKey());
    metrics.increment(READS, {result: found.isOk ? 'ok' : found.error.kind});
    if (found.isErr) {
      return;
    }
    this.writtenVersion = undefined;
    if (found.value !== undefined) {
      this.merge(found.value);
    }
  }

  private listCounts(): Counts {
    return {
      usage: this.listUsage(),
      spending: this.options.quota.listRecentSpending(),
    };
  }

  private getKey(): string {
    return PREFIX + this.options.dataCentre;
  }

  /** Lists the counts of all known origins, this one first and then the latest. */
  private listUsage(): OriginUsage[] {
    const {hostUsage, ledger, origin} = this.options;
    const own = this.selectOpen(ledger.list());
    const origins = new Map<string, WindowUsage[]>([[origin, own]]);
    for (const window of this.listOpenWindows()) {
      for (const [other, counts] of hostUsage.list(window)) {
        const usages = origins.get(other) ?? [];
        if (other !== origin) {
          origins.set(other, [...usages, {window, counts}]);
        }
      }
    }
    return [...origins].filter(([, usages]) => usages.length > 0);
  }

  private selectOpen(usages: readonly WindowUsage[]): WindowUsage[] {
    const open = this.listOpenWindows();
    return usages.filter(({window}) => open.includes(window));
  }

  /** Lists the windows that may still be reported, the latest first. */
  private listOpenWindows(): number[] {
    const {ledger, getReferenceMs, windowMs, deadlineMs} = this.options;
    const nowMs = getReferenceMs();
    const oldest = ledger.getWindow(nowMs - deadlineMs - windowMs) + 1;
    const windows: number[] = [];
    // Clocks of hosts may differ, so that the next window may have begun elsewhere.
    for (let window = ledger.getWindow(nowMs) + 1; window >= oldest; window--) {
      windows.push(window);
    }
    return windows;
  }
}

function sumUnits(past: readonly PastSpending[]): number {
  return past.reduce((sum, {units}) => sum + units, 0);
}

/** Describes counts without ages, which change although no request arrives. */
function createFingerprint({usage, spending}: Counts): string {
  const sums = [...spending].map(([name, past]) => [name, sumUnits(past)]);
  return JSON.stringify([usage, sums]);
}
