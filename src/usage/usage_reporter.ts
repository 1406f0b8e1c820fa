import {Result} from 'true-myth';
import {Duty} from '../lease/index.js';
import {Log} from '../log/index.js';
import {
  ABSENT,
  RestorationWatch,
  Step,
  StepKind,
  TableFailureKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';
import {DecidableWindows, WindowRange} from './decidable_windows.js';
import {HostUsage} from './host_usage.js';
import {UsageCounts, UsageLedger} from './usage_ledger.js';

/** Sends one window's counts to the billing system; returns whether it accepted them. */
export type SendUsage = (
  window: number,
  counts: UsageCounts,
  fence: number,
) => Promise<boolean>;

/** Dependencies of the reporter. */
export interface UsageReporterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly table: TableService;
  readonly duty: Duty;
  readonly ledger: UsageLedger;
  readonly hostUsage: HostUsage;
  /** Host and incarnation of this process. */
  readonly origin: string;
  /** Returns whether a holder of the duty is reachable, and so receives this host's counts. */
  readonly reachesHolder: () => boolean;
  /** Returns whether this host is in contact with all known hosts. */
  readonly reachesAll: () => boolean;
  /** Requests the counts of a window from all peers. */
  readonly gather: (window: number) => Promise<void>;
  /** Returns reference time in Unix milliseconds. */
  readonly getReferenceMs: () => number;
  readonly windowMs: number;
  /** Time after the end of a window from which its report is too late, in milliseconds. */
  readonly deadlineMs: number;
  readonly send: SendUsage;
  /**
   * Returns whether this host has run long enough to know the hosts that have counts; if
   * omitted, it has.
   */
  readonly mayDecide?: () => boolean;
  /**
   * Reads the counts that other hosts have stored into `hostUsage`. Returns false if they
   * cannot be read now, and then no counts are decided; if omitted, there are none.
   */
  readonly readStored?: () => Promise<boolean>;
}

/** Interval between checks at the holder of the duty, in milliseconds. */
const POLL_INTERVAL_MS = 200;
/**
 * The same at other hosts, which only check whether to write their own counts, in
 * milliseconds. It is longer since an idle host spends its CPU time on wake-ups.
 */
const STANDBY_POLL_INTERVAL_MS = 1000;
/** Wait after the end of a window for the last counts of every host, in milliseconds. */
const SETTLE_DELAY_MS = 1000;
/** Wait after the end of a window for unreachable hosts, in milliseconds. */
const UNREACHABLE_HOST_TIMEOUT_MS = 4500;
/** Windows whose counts are kept, to write them again if the table loses them. */
const KEPT_WINDOWS = 12;
const COUNTS_PREFIX = 'usage-counts/';
const DECIDED_PREFIX = 'usage-decided/';

/**
 * Reports each window's usage once.
 *
 * A host that cannot reach a holder of the duty writes its own counts to the table when a
 * window has ended. The holder sums the counts that hosts reported and those in the
 * table, writes the sum to the table unless one is there already, and sends the written
 * sum. A later holder therefore sends exactly the same counts. What the table loses when it
 * is restored from a copy is written again; if no host can do so, the window is not reported
 * (see `DecidableWindows`).
 */
export class UsageReporter {
  private lastWritten = 0;
  private lastReported = 0;
  /** The final counts of the last windows, as written to the table or read from it. */
  private readonly decided = new Map<number, UsageCounts>();
  private readonly restorations: RestorationWatch;
  private readonly decidable: DecidableWindows;
  /** Whether the table may have lost what this host has written. */
  private mayLack = false;

  constructor(private readonly options: UsageReporterOptions) {
    this.restorations = new RestorationWatch(options.table);
    this.decidable = new DecidableWindows(options);
  }

  /** Writes and reports counts until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, ledger, getReferenceMs, deadlineMs} = this.options;
    this.lastWritten = ledger.getWindow(getReferenceMs()) - 1;
    // Check again the windows that an earlier holder may not have reported.
    this.lastReported = ledger.getWindow(getReferenceMs() - deadlineMs) - 1;
    while (!signal.aborted) {
      const isHolder = this.options.duty.isHeld();
      await clock.sleep(
        isHolder ? POLL_INTERVAL_MS : STANDBY_POLL_INTERVAL_MS,
        signal,
      );
      await this.writeLost();
      await this.writeOwn();
      await this.report();
    }
  }

  /** Writes the counts so far to the table; called when this host stops. */
  async flush(): Promise<void> {
    const {ledger, getReferenceMs} = this.options;
    const window = ledger.getWindow(getReferenceMs());
    await this.writeCounts(window - 1);
    await this.writeCounts(window);
  }

  /**
   * Writes the decided counts, and this host's own, again if the table may have lost them.
   */
  private async writeLost(): Promise<void> {
    this.mayLack = this.restorations.hasRestored() || this.mayLack;
    if (!this.mayLack) {
      return;
    }
    const {table, ledger, getReferenceMs, log} = this.options;
    for (const [window, counts] of this.decided) {
      const found = await this.writeDecided(window, counts);
      if (found === undefined) {
        return;
      }
    }
    this.mayLack = false;
    this.lastWritten = ledger.getWindow(getReferenceMs()) - 2;
    log.info('usage_written_again', {
      windows: this.decided.size,
      era: table.getEra(),
    });
  }

  private async writeOwn(): Promise<void> {
    const {ledger, getReferenceMs, duty} = this.options;
    const window = ledger.getWindow(getReferenceMs()) - 1;
    if (window <= this.lastWritten) {
      return;
    }
    const isDone =
      this.options.reachesHolder() ||
      duty.getFence() !== undefined ||
      (await this.writeCounts(window));
    if (isDone) {
      this.lastWritten = window;
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
    const {duty, ledger, getReferenceMs, windowMs, deadlineMs} = this.options;
    const nowMs = getReferenceMs();
    const last = ledger.getWindow(nowMs - SETTLE_DELAY_MS) - 1;
    this.decidable.update(last + 1, duty.getFence());
    const first = ledger.getWindow(nowMs - deadlineMs - windowMs) + 1;
    for (
      let window = Math.max(first, this.lastReported + 1);
      window <= last;
      window++
    ) {
      const ageMs = nowMs - (window + 1) * windowMs;
      const isComplete =
        (this.mayDecide() && this.options.reachesAll()) ||
        ageMs > UNREACHABLE_HOST_TIMEOUT_MS;
      if (duty.getFence() === undefined || !isComplete) {
        return;
      }
      if (!(await this.reportWindow(window))) {
        return;
      }
      this.lastReported = window;
    }
  }

  private mayDecide(): boolean {
    return this.options.mayDecide?.() ?? true;
  }

  /** Returns whether nothing is left to do for the window. */
  private async reportWindow(window: number): Promise<boolean> {
    const {duty, log, send} = this.options;
    const heldFence = duty.getFence();
    if (heldFence === undefined) {
      return false;
    }
    // The range is read first: what is missing afterwards is missing in its era or later.
    const range = await this.decidable.find(heldFence);
    const found = await this.findDecided(window);
    if (range === undefined || found.isErr) {
      return false;
    }
    if (found.value === undefined && window < range.first) {
      log.warn('usage_not_reported', {window, first: range.first});
      return true;
    }
    const counts = found.value ?? (await this.decideCounts(window, range));
    const fence = duty.getFence();
    if (counts === undefined || fence === undefined) {
      return false;
    }
    const taken = await send(window, counts, fence);
    const total = Object.values(counts).reduce((sum, count) => sum + count, 0);
    log.info('usage_reported', {window, fence, total, taken});
    return taken;
  }

  /**
   * Returns the final counts, written by this host or an earlier holder; `undefined` if there
   * are none yet.
   */
  private async findDecided(
    window: number,
  ): Promise<Result<UsageCounts | undefined, unknown>> {
    const found = await this.options.table.get(DECIDED_PREFIX + window);
    if (found.isOk && found.value !== undefined) {
      return Result.ok(
        this.keepDecided(window, found.value.value as UsageCounts),
      );
    }
    const known = this.decided.get(window);
    if (found.isErr || known === undefined) {
      return found.map(() => undefined);
    }
    const written = await this.writeDecided(window, known);
    return written === undefined ? Result.err(undefined) : Result.ok(written);
  }

  /** Decides on the counts of a window that has none. */
  private async decideCounts(
    window: number,
    {condition}: WindowRange,
  ): Promise<UsageCounts | undefined> {
    const counts = await this.sumCounts(window);
    return counts === undefined
      ? undefined
      : this.writeDecided(window, counts, [condition]);
  }

  /**
   * Writes the final counts of a window, unless it has some already.
   * @param conditions - Further conditions of the write.
   * @returns The final counts; `undefined` if they are not known to be written.
   */
  private async writeDecided(
    window: number,
    counts: UsageCounts,
    conditions: readonly Step[] = [],
  ): Promise<UsageCounts | undefined> {
    const {table} = this.options;
    const key = `${DECIDED_PREFIX}${window}`;
    const written = await table.transact([
      ...conditions,
      {kind: StepKind.PUT, key, ifVersion: ABSENT, value: counts},
    ]);
    if (written.isOk) {
      return this.keepDecided(window, counts);
    }
    if (written.error.kind !== TableFailureKind.CONFLICT) {
      // If the answer was lost, the next round reads the written counts.
      return undefined;
    }
    const found = await table.get(key);
    const row = found.unwrapOr(undefined);
    return row && this.keepDecided(window, row.value as UsageCounts);
  }

  private keepDecided(window: number, counts: UsageCounts): UsageCounts {
    this.decided.set(window, counts);
    const [oldest] = this.decided.keys();
    if (this.decided.size > KEPT_WINDOWS && oldest !== undefined) {
      this.decided.delete(oldest);
    }
    return counts;
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
    const [hasRead] = await Promise.all([
      this.options.readStored?.() ?? true,
      this.options.gather(window),
    ]);
    return hasRead ? hostUsage.sum(window) : undefined;
  }
}
