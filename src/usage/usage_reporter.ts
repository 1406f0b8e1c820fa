import {Duty} from '../lease/index.js';
import {Log} from '../log/index.js';
import {ABSENT, StepKind, TableService} from '../table/index.js';
import {Clock} from '../time/index.js';
import {HostUsage} from './host_usage.js';
import {UsageCounts, UsageLedger} from './usage_ledger.js';

/** Sends one window's counts to whoever bills; tells whether it was taken. */
export type SendUsage = (
  window: number,
  counts: UsageCounts,
  fence: number,
) => Promise<boolean>;

/** What the reporter works with. */
export interface UsageReporterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly table: TableService;
  readonly duty: Duty;
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  /** Host and start of this process. */
  readonly origin: string;
  /** Tells whether a holder of the duty is heard, and so hears this host. */
  readonly hearsHolder: () => boolean;
  /** Tells whether every host that is known was heard just now. */
  readonly hearsAll: () => boolean;
  /** Asks every peer what it knows of a window. */
  readonly gather: (window: number) => Promise<void>;
  readonly getTrueMs: () => number;
  readonly windowMs: number;
  /** Time after a window's end at which its report is too late, in ms. */
  readonly lateMs: number;
  readonly send: SendUsage;
}

const POLL_MS = 200;
/**
 * The same at a host that holds no duty, which only looks whether it has to write its
 * own counts, in milliseconds: an idle host's time goes to waking up.
 */
const WATCH_MS = 1000;
/** Wait after a window's end for the last word of every host. */
const SETTLE_MS = 1000;
/** Wait after a window's end for hosts that are not heard. */
const PATIENCE_MS = 4500;
const COUNTS_PREFIX = 'usage-counts/';
const DECIDED_PREFIX = 'usage-decided/';

/**
 * Reports each window's usage once.
 *
 * A host that hears no holder writes its own counts to the table when a window
 * has ended; the holder of the duty adds up what it heard from hosts and reads there, writes the
 * sum under the condition that none is written yet, and sends what is written.
 * A later holder sends exactly the same.
 */
export class UsageReporter {
  private written = 0;
  private reported = 0;

  constructor(private readonly options: UsageReporterOptions) {}

  /** Works until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, ledger, getTrueMs, lateMs} = this.options;
    this.written = ledger.getWindow(getTrueMs()) - 1;
    // Windows that an earlier holder left are looked at again.
    this.reported = ledger.getWindow(getTrueMs() - lateMs) - 1;
    while (!signal.aborted) {
      const isHolder = this.options.duty.isHeld();
      await clock.sleep(isHolder ? POLL_MS : WATCH_MS, signal);
      await this.writeOwn();
      await this.report();
    }
  }

  /** Writes what is counted so far, since this host stops. */
  async flush(): Promise<void> {
    const {ledger, getTrueMs} = this.options;
    const window = ledger.getWindow(getTrueMs());
    await this.writeCounts(window - 1);
    await this.writeCounts(window);
  }

  private async writeOwn(): Promise<void> {
    const {ledger, getTrueMs, duty} = this.options;
    const window = ledger.getWindow(getTrueMs()) - 1;
    if (window <= this.written) {
      return;
    }
    const done =
      this.options.hearsHolder() ||
      duty.getFence() !== undefined ||
      (await this.writeCounts(window));
    if (done) {
      this.written = window;
    }
  }

  private async writeCounts(window: number): Promise<boolean> {
    const {table, ledger, origin} = this.options;
    const counts = ledger.getCounts(window);
    if (Object.keys(counts).length === 0) {
      return true;
    }
    const key = `${COUNTS_PREFIX}${window}/${origin}`;
    const put = await table.transact([
      {kind: StepKind.PUT, key, value: counts},
    ]);
    return put.isOk;
  }

  private async report(): Promise<void> {
    const {duty, ledger, getTrueMs, windowMs, lateMs} = this.options;
    const nowMs = getTrueMs();
    const last = ledger.getWindow(nowMs - SETTLE_MS) - 1;
    const first = ledger.getWindow(nowMs - lateMs - windowMs) + 1;
    for (
      let window = Math.max(first, this.reported + 1);
      window <= last;
      window++
    ) {
      const ageMs = nowMs - (window + 1) * windowMs;
      const isComplete = this.options.hearsAll() || ageMs > PATIENCE_MS;
      if (duty.getFence() === undefined || !isComplete) {
        return;
      }
      if (!(await this.reportWindow(window))) {
        return;
      }
      this.reported = window;
    }
  }

  private async reportWindow(window: number): Promise<boolean> {
    const {duty, log, send} = this.options;
    const counts = await this.decide(window);
    const fence = duty.getFence();
    if (counts === undefined || fence === undefined) {
      return false;
    }
    const taken = await send(window, counts, fence);
    const total = Object.values(counts).reduce((sum, count) => sum + count, 0);
    log.info('usage_reported', {window, fence, total, taken});
    return taken;
  }

  /** Returns the counts that were decided, by this host or an earlier holder. */
  private async decide(window: number): Promise<UsageCounts | undefined> {
    const {table} = this.options;
    const key = `${DECIDED_PREFIX}${window}`;
    const found = await table.get(key);
    if (found.isErr) {
      return undefined;
    }
    if (found.value !== undefined) {
      return found.value.value as UsageCounts;
    }
    const counts = await this.sumCounts(window);
    if (counts === undefined) {
      return undefined;
    }
    const written = await table.transact([
      {kind: StepKind.PUT, key, ifVersion: ABSENT, value: counts},
    ]);
    // After a lost answer the next round reads what was written.
    return written.isOk ? counts : undefined;
  }

  private async sumCounts(window: number): Promise<UsageCounts | undefined> {
    const {table, hostUsage, ledger, origin} = this.options;
    const prefix = `${COUNTS_PREFIX}${window}/`;
    const rows = await table.list(prefix);
    if (rows.isErr) {
      return undefined;
    }
    for (const row of rows.value) {
      const counts = row.value as UsageCounts;
      hostUsage.add(row.key.slice(prefix.length), [{window, counts}]);
    }
    hostUsage.add(origin, [{window, counts: ledger.getCounts(window)}]);
    await this.options.gather(window);
    return hostUsage.sum(window);
  }
}
