import {Clock} from '../time/index.js';

/**
 * How long ago the platform's tables were read by this host, or by one whose word
 * of them reaches it: while that is fresh, this host need not read them itself.
 */
export class ReadAge {
  /** When each table was last read here, monotonic milliseconds. */
  private readonly readMs = new Map<string, number>();
  private toldMs = Number.NEGATIVE_INFINITY;

  /**
   * @param clock - Measures the age.
   * @param tables - Tables that must all have been read.
   */
  constructor(
    private readonly clock: Clock,
    private readonly tables: readonly string[],
  ) {}

  /** Notes that a table was read here. */
  addRead(table: string): void {
    this.readMs.set(table, this.clock.monotonicMs());
  }

  /** Takes in how long ago another host read them all. */
  addTold(ageMs: number): void {
    this.toldMs = Math.max(this.toldMs, this.clock.monotonicMs() - ageMs);
  }

  /** Returns the time since this host read them all; infinite if it never did. */
  getOwnMs(): number {
    const oldest = Math.min(
      ...this.tables.map(
        table => this.readMs.get(table) ?? Number.NEGATIVE_INFINITY,
      ),
    );
    return this.clock.monotonicMs() - oldest;
  }

  /** Returns the time since another host did, as it told. */
  getToldMs(): number {
    return this.clock.monotonicMs() - this.toldMs;
  }

  /** Returns the time since this host or another did. */
  getMs(): number {
    return Math.min(this.getOwnMs(), this.getToldMs());
  }
}
