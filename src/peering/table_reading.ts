import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {isTableReader} from './is_table_reader.js';
import {KnownHosts} from './known_hosts.js';
import {ReadAge} from './read_age.js';

/** What decides who reads the platform's tables. */
export interface TableReadingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly known: KnownHosts;
  readonly readAge: ReadAge;
  /** Tells whether this host has read who there is. */
  readonly knowsOthers: () => boolean;
  /** Time in which what stands in a table has to be known everywhere, in ms. */
  readonly getNewsMs: () => number;
}

/**
 * Share of the time for news at which a host whose word of a reader is that old
 * reads for itself: what is left is for the reading, and for telling others.
 */
const TOLD_SHARE = 0.7;
/** The same for aggregators, which many others hear of it from. */
const AGGREGATOR_SHARE = 0.6;
/** Number of hosts that `isTableReader` selects. */
const READER_COUNT = 2;
/**
 * Longest wait for a change, in milliseconds. It bounds the time to detect a silent
 * connection: servers that leave must be known within two seconds of a healed link.
 */
const MAX_WAIT_MS = 1500;
/**
 * Longest wait of a table reader for a change, as a share of the time for news. The
 * age that it reports to other hosts goes down only when a request completes.
 */
const READER_WAIT_SHARE = 0.15;
/** Time from the start in which a host learns who there is, in milliseconds. */
const MEET_MS = 400;
/**
 * Spread of the first reading over hosts that start together, in milliseconds. A
 * host that knows nothing does not wait to be told: that takes a second or more,
 * in which its callers wait for the first configuration.
 */
const SPREAD_MS = 200;
/**
 * Mean pause between tries of a host that hears of no reader, in milliseconds:
 * all hosts then try, and what they ask of a store that is down costs as much.
 */
const ALONE_MS = 2000;

/**
 * Decides whether a host reads the platform's tables. Few hosts all do, in turn. Of
 * many, the aggregators of two data centres do, and tell the others; a host that is
 * not told in time reads for itself until it is.
 */
export class TableReading {
  private readonly startMs: number;
  private readonly spreadMs: number;
  /** Until when a table is not tried by a host without word, monotonic ms. */
  private readonly restsUntilMs = new Map<string, number>();
  /** Time of the last successful request to the store by table, monotonic ms. */
  private readonly lastResponseMs = new Map<string, number>();

  constructor(private readonly options: TableReadingOptions) {
    this.startMs = options.clock.monotonicMs();
    this.spreadMs = SPREAD_MS * options.random.next();
  }

  /**
   * Tells whether this host need not read now.
   * @param table - What it would read.
   */
  rests(table: string): boolean {
    const {clock, known, readAge, knowsOthers} = this.options;
    const ageMs = clock.monotonicMs() - this.startMs;
    if (!knowsOthers() && ageMs < MEET_MS) {
      return true;
    }
    if (!known.isLarge() || isTableReader(known)) {
      return false;
    }
    if (readAge.getToldMs(table) < this.getMaxToldMs()) {
      return true;
    }
    return ageMs < this.spreadMs || this.restsAlone(table);
  }

  /**
   * Records a successful request to the store and cancels the pause before the next.
   * @param table - The table that was read.
   */
  addResponse(table: string): void {
    this.lastResponseMs.set(table, this.options.clock.monotonicMs());
    this.restsUntilMs.delete(table);
  }

  /** Returns the number of hosts that share the reading, this one included. */
  countReaders(): number {
    const {known} = this.options;
    return this.isDesignatedReader() ? READER_COUNT : known.countAlive();
  }

  /** Returns the timeout of a request that waits for a change, in milliseconds. */
  getMaxWaitMs(): number {
    const readerMs = this.options.getNewsMs() * READER_WAIT_SHARE;
    return this.isDesignatedReader()
      ? Math.min(readerMs, MAX_WAIT_MS)
      : MAX_WAIT_MS;
  }

  /** Tells whether this host reads the tables on behalf of the others. */
  private isDesignatedReader(): boolean {
    const {known} = this.options;
    return known.isLarge() && isTableReader(known);
  }

  private getMaxToldMs(): number {
    const {known, getNewsMs} = this.options;
    const share = known.isAggregator() ? AGGREGATOR_SHARE : TOLD_SHARE;
    return getNewsMs() * share;
  }

  /** Spreads the tries of hosts that have no word, once they have none. */
  private restsAlone(table: string): boolean {
    const {clock, random} = this.options;
    const nowMs = clock.monotonicMs();
    const responseMs =
      this.lastResponseMs.get(table) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - responseMs < this.getMaxToldMs()) {
      // It reads, and goes on until others tell it again.
      return false;
    }
    if (nowMs < (this.restsUntilMs.get(table) ?? 0)) {
      return true;
    }
    const pauseMs = ALONE_MS * (0.5 + random.next());
    this.restsUntilMs.set(table, nowMs + pauseMs);
    return false;
  }
}
