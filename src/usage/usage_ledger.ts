/** Number of requests that began in one window, by customer. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Counts of one window at one host. */
export interface WindowUsage {
  /** Number of the window, counted from the Unix epoch. */
  readonly window: number;
  readonly counts: UsageCounts;
}

/** Maximum number of windows kept. */
const MAX_WINDOWS = 6;

/** Counts the requests that begin on this host, by window and customer. */
export class UsageLedger {
  private readonly windows = new Map<number, Map<string, number>>();

  /**
   * @param windowMs - Length of a window, in milliseconds.
   * @param getReferenceMs - Returns reference time in Unix milliseconds.
   */
  constructor(
    private readonly windowMs: number,
    private readonly getReferenceMs: () => number,
  ) {}

  /** Returns the window that contains a time. */
  getWindow(referenceMs: number): number {
    return Math.floor(referenceMs / this.windowMs);
  }

  /**
   * Counts a request that a server began to process.
   * @param customer - Customer of the request.
   * @param agoMs - How long ago it began, in milliseconds.
   */
  add(customer: string, agoMs: number): void {
    const window = this.getWindow(this.getReferenceMs() - agoMs);
    const counts = this.windows.get(window) ?? new Map<string, number>();
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
    this.windows.set(window, counts);
    for (const old of this.windows.keys()) {
      if (old <= window - MAX_WINDOWS) {
        this.windows.delete(old);
      }
    }
  }

  /** Returns the counts of one window. */
  getCounts(window: number): UsageCounts {
    return Object.fromEntries(this.windows.get(window) ?? []);
  }

  /** Lists all kept windows, for reports to peers. */
  list(): WindowUsage[] {
    const list: WindowUsage[] = [];
    for (const [window, counts] of this.windows) {
      list.push({window, counts: Object.fromEntries(counts)});
    }
    return list;
  }
}
