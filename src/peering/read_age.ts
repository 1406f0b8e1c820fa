import {Clock} from '../time/index.js';

/**
 * Tracks, for each table, the latest time at which this host's rows are known to have
 * matched the table: from its own reading, or as reported by a host with the same rows.
 * While that time is recent, this host need not read the table itself.
 */
export class ReadAge {
  /** Time of the latest reading by this host, by table, monotonic milliseconds. */
  private readonly ownMs = new Map<string, number>();
  /** Latest time reported by hosts with the same rows, by table, monotonic ms. */
  private readonly reportedMs = new Map<string, number>();

  /**
   * @param clock - Measures the age.
   * @param tables - Names of the tables.
   */
  constructor(
    private readonly clock: Clock,
    private readonly tables: readonly string[],
  ) {}

  /**
   * Records that this host has read a table.
   * @param table - The table.
   * @param asOfMs - Lower bound of the time of the reading, monotonic milliseconds.
   */
  addRead(table: string, asOfMs = this.clock.monotonicMs()): void {
    setLatest(this.ownMs, table, asOfMs);
  }

  /**
   * Records the time reported by another host that has the same rows of a table.
   * @param table - The table.
   * @param asOfMs - When those rows matched the table, monotonic milliseconds.
   */
  addReported(table: string, asOfMs: number): void {
    setLatest(this.reportedMs, table, asOfMs);
  }

  /** Clears all times; needed after a pause that the monotonic clock has not counted. */
  reset(): void {
    this.ownMs.clear();
    this.reportedMs.clear();
  }

  /** Returns the age of this host's latest reading of a table; infinite if none. */
  getOwnMs(table: string): number {
    return this.getAgeMs(this.ownMs, table);
  }

  /** Returns the age of a table as reported by other hosts; infinite if none. */
  getReportedMs(table: string): number {
    return this.getAgeMs(this.reportedMs, table);
  }

  /** Returns the lower of the own and the reported age of a table. */
  getMs(table: string): number {
    return Math.min(this.getOwnMs(table), this.getReportedMs(table));
  }

  /** Returns the highest age of all tables. */
  getOldestMs(): number {
    return Math.max(...this.tables.map(table => this.getMs(table)));
  }

  private getAgeMs(times: ReadonlyMap<string, number>, table: string): number {
    const asOfMs = times.get(table) ?? Number.NEGATIVE_INFINITY;
    return this.clock.monotonicMs() - asOfMs;
  }
}

function setLatest(
  times: Map<string, number>,
  table: string,
  ms: number,
): void {
  const known = times.get(table) ?? Number.NEGATIVE_INFINITY;
  times.set(table, Math.max(known, ms));
}
