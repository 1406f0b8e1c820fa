import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {isTableReader} from './is_table_reader.js';
import {KnownHosts} from './known_hosts.js';
import {ReadAge} from './read_age.js';

/** Dependencies and timing of the decision whether a host reads the tables. */
export interface TableReadingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly known: KnownHosts;
  readonly readAge: ReadAge;
  /** Returns whether this host has read which other hosts exist. */
  readonly knowsOthers: () => boolean;
  /** Time within which a table's content must be known on every host, in ms. */
  readonly getPropagationMs: () => number;
  /** Returns whether rows of a table are arriving from a peer; by default, none are. */
  readonly isReceiving?: (table: string) => boolean;
}

/**
 * Age reported by peers at which a host reads a table itself, as a share of the time for
 * updates: the rest is for the reading and for forwarding it to other hosts.
 */
const REPORTED_SHARE = 0.7;
/** The same for aggregators, from which many other hosts receive the reported age. */
const AGGREGATOR_SHARE = 0.6;
/** Number of hosts that `isTableReader` selects. */
const READER_COUNT = 2;
/**
 * Longest wait for a change, in milliseconds. It bounds the time to detect a connection
 * that does not respond: servers that leave must be known within two seconds after a
 * link is repaired.
 */
const MAX_WAIT_MS = 1500;
/**
 * Longest wait of a table reader for a change, as a share of the time for updates. The
 * age that it reports to other hosts goes down only when a request completes.
 */
const READER_WAIT_SHARE = 0.15;
/** Time after the start for which a host waits to learn of others, in milliseconds. */
const DISCOVERY_MS = 400;
/**
 * Interval over which hosts that start together spread their first reading, in
 * milliseconds. A host that knows nothing does not wait for a peer's report: that takes
 * a second or more, in which its callers wait for the first configuration.
 */
const SPREAD_MS = 200;
/**
 * Mean interval between attempts of a host without a recent report of a reader, in
 * milliseconds. All hosts make attempts then, and a request costs as much while the
 * store is down.
 */
const RETRY_MS = 2000;

/**
 * Shortest and longest time between checks of whether to read, in milliseconds. A host that
 * becomes a reader must notice it before the reports of the others are too old.
 */
const MIN_CHECK_MS = 100;
const MAX_CHECK_MS = 400;

/**
 * Decides whether a host reads the platform's tables. In a small fleet all hosts do, in
 * turn. In a large one, the aggregators of two data centres do and report to the others;
 * a host without a recent report reads for itself until it gets one.
 */
export class TableReading {
  private readonly startMs: number;
  private readonly spreadMs: number;
  /** Until when a host without a recent report makes no attempt, by table, monotonic ms. */
  private readonly pausedUntilMs = new Map<string, number>();
  /** Time of the last successful request to the store by table, monotonic ms. */
  private readonly lastResponseMs = new Map<string, number>();

  constructor(private readonly options: TableReadingOptions) {
    this.startMs = options.clock.monotonicMs();
    this.spreadMs = SPREAD_MS * options.random.next();
  }

  /**
   * Returns whether this host need not read a table now.
   * @param table - Name of the table.
   */
  canSkip(table: string): boolean {
    const {clock, known, readAge, knowsOthers} = this.options;
    const ageMs = clock.monotonicMs() - this.startMs;
    if (!knowsOthers() && ageMs < DISCOVERY_MS) {
      return true;
    }
    if (!known.isLargeFleet() || isTableReader(known)) {
      return false;
    }
    if (readAge.getReportedMs(table) < this.getMaxReportedMs()) {
      return true;
    }
    if (this.options.isReceiving?.(table) === true) {
      return true;
    }
    return ageMs < this.spreadMs || this.isPaused(table);
  }

  /**
   * Returns the time after which to check again whether this host must read a table, in
   * milliseconds. It ends when the reported age becomes too high, unless another report
   * arrives; a fixed short interval would wake up each idle host ten times a second.
   * @param table - Name of the table.
   */
  getSkipCheckMs(table: string): number {
    const remainingMs =
      this.getMaxReportedMs() - this.options.readAge.getReportedMs(table);
    return remainingMs > 0 ? Math.min(MAX_CHECK_MS, remainingMs) : MIN_CHECK_MS;
  }

  /**
   * Records a successful request to the store and cancels the pause before the next.
   * @param table - The table that was read.
   */
  addResponse(table: string): void {
    this.lastResponseMs.set(table, this.options.clock.monotonicMs());
    this.pausedUntilMs.delete(table);
  }

  /** Returns the number of hosts that share the reading, this one included. */
  countReaders(): number {
    const {known} = this.options;
    return this.isDesignatedReader() ? READER_COUNT : known.countAlive();
  }

  /** Returns the timeout of a request that waits for a change, in milliseconds. */
  getMaxWaitMs(): number {
    const readerMs = this.options.getPropagationMs() * READER_WAIT_SHARE;
    return this.isDesignatedReader()
      ? Math.min(readerMs, MAX_WAIT_MS)
      : MAX_WAIT_MS;
  }

  /** Returns whether this host reads the tables on behalf of the others. */
  private isDesignatedReader(): boolean {
    const {known} = this.options;
    return known.isLargeFleet() && isTableReader(known);
  }

  private getMaxReportedMs(): number {
    const {known, getPropagationMs} = this.options;
    const share = known.isAggregator() ? AGGREGATOR_SHARE : REPORTED_SHARE;
    return getPropagationMs() * share;
  }

  /** Spreads the attempts of hosts that have no recent report. */
  private isPaused(table: string): boolean {
    const {clock, random} = this.options;
    const nowMs = clock.monotonicMs();
    const responseMs =
      this.lastResponseMs.get(table) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - responseMs < this.getMaxReportedMs()) {
      // It reads successfully, and continues until it gets a recent report again.
      return false;
    }
    if (nowMs < (this.pausedUntilMs.get(table) ?? 0)) {
      return true;
    }
    const pauseMs = RETRY_MS * (0.5 + random.next());
    this.pausedUntilMs.set(table, nowMs + pauseMs);
    return false;
  }
}
