import {Log} from '../log/index.js';
import {TableService} from '../table/index.js';
import {rankByRendezvous} from '../random/index.js';
import {Clock} from '../time/index.js';
import {BookDirectory} from './book_directory.js';
import {BookHandover} from './book_handover.js';
import {getHostBook, getSlotBook, isSlotBook, SLOT_COUNT} from './book_id.js';
import {BookTable, ListedBook} from './book_table.js';
import {Book, BookOptions} from './book.js';
import {CallOrder, CallOutcome, OutcomeKind} from './call_order.js';
import {CommitBudget} from './commit_budget.js';
import {decideTakeover} from './decide_takeover.js';
import {Entry} from './entry.js';
import {findCorrections} from './find_corrections.js';
import {OutcomeDelivery} from './outcome_delivery.js';
import {SeenCopies} from './seen_copies.js';
import {BookPosition, Journal, JournalOptions} from './journal.js';

/** What the bookkeeper works with. */
export interface BookkeeperOptions {
  readonly host: string;
  readonly incarnation: string;
  readonly table: TableService;
  readonly clock: Clock;
  readonly log: Log;
  readonly directory: BookDirectory;
  /** Returns the names of the entry hosts that live, this one included. */
  readonly listLiveHosts: () => readonly string[];
  /** Returns whether a start of a host is known to have ended. */
  readonly isGone: (host: string, incarnation: string) => boolean;
  /** Common options of all books. */
  readonly book: Omit<
    BookOptions,
    'incarnation' | 'recordsFirst' | 'onOrphanedOutcome'
  >;
  /** Writes per second that all hosts together may spend on books. */
  readonly writesPerSecond: number;
  /** Time after which an unchanged row may be taken over, in milliseconds. */
  readonly leaseMs: number;
  /** Pause between two looks at the rows, in milliseconds. */
  readonly watchMs: number;
  readonly lingerMs: number;
  readonly retryMs: number;
  readonly retentionMs: number;
  /** Returns whether the calls of a book are recorded before dispatch. */
  readonly recordsFirst: (book: string) => boolean;
  /** Returns whether a slot book is to be held at all; every one is in use. */
  readonly ownsSlot?: (book: string) => boolean;
  /** Passes a book to a peer; resolves to whether the peer has it. */
  readonly sendBook: (host: string, book: BookHandover) => Promise<boolean>;
  /** Passes an outcome to the holder of its book; resolves to its receipt. */
  readonly sendOutcome: (
    host: string,
    book: string,
    entry: Entry,
  ) => Promise<boolean>;
}

/** A row as this host has watched it. */
interface WatchedRow {
  readonly version: number;
  /** When this version was first seen, on the monotonic clock. */
  readonly sinceMs: number;
}

/** Hosts looked at per second by all watchers together. */
const WATCH_READS_PER_SECOND = 100;
/** How long a book's last writes may hold up its handover. */
const HANDOVER_PATIENCE_MS = 2000;
/** Leases for which another host must come first before a book is moved. */
const LEASES_BEFORE_MOVE = 2;
const MOVES_PER_LOOK = 2;
/** Renewals per lease. */
const RENEWALS_PER_LEASE = 3;

/** Holds the books of this host: takes them, keeps them, hands them on. */
export class Bookkeeper {
  private readonly books = new Map<string, Book>();
  private readonly watched = new Map<string, WatchedRow>();
  private readonly opening = new Set<string>();
  /** Books that another host should hold, and since when; monotonic ms. */
  private readonly misplaced = new Map<string, number>();
  private readonly copies = new SeenCopies();
  /** Incarnations that books were received from, by book. */
  private readonly received = new Map<string, string>();
  /** Books handed on, whose running calls end here. */
  private readonly departed = new Set<Book>();
  private readonly delivery: OutcomeDelivery;
  private readonly bookTable: BookTable;
  private readonly budget: CommitBudget;
  private leaving = false;

  constructor(private readonly options: BookkeeperOptions) {
    this.bookTable = new BookTable(options.table);
    this.budget = new CommitBudget(() => this.getWriteRate(), options.clock);
    this.delivery = new OutcomeDelivery({
      clock: options.clock,
      log: options.log,
      addHere: (book, entry) => this.addLateOutcome(book, entry),
      getOtherHolder: book => {
        const holder = options.directory.getHolder(book);
        return holder === options.host ? undefined : holder;
      },
      send: options.sendOutcome,
      retryMs: options.watchMs / 2,
    });
    this.addHostBook();
  }

  /** Names the book of the keys minted here. */
  getOwnBook(): string {
    return getHostBook(this.options.host, this.options.incarnation);
  }

  /** Returns the host that this host's own book was handed to, if it was. */
  getOwnHolder(): string | undefined {
    const holder = this.options.directory.getHolder(this.getOwnBook());
    return holder === this.options.host ? undefined : holder;
  }

  /** Returns the books held here, with their fences. */
  listHeld(): readonly BookPosition[] {
    return [...this.books.values()].map(book => book.journal.getPosition());
  }

  /**
   * Number of calls that run here, in books held here or handed on, and of
   * outcomes on their way to another holder.
   */
  countPending(): number {
    let count = this.delivery.countUnderWay();
    for (const book of [...this.books.values(), ...this.departed]) {
      count += book.countPending();
      count += this.leaving && !book.journal.isIdle() ? 1 : 0;
    }
    return count;
  }

  /**
   * Runs a call if its book is held here.
   * @param book - Name of the book.
   * @param order - The call.
   */
  async run(book: string, order: CallOrder): Promise<CallOutcome> {
    const held = this.books.get(book);
    const isNew = this.copies.add(order.instance, order.copy);
    if (held === undefined || !isNew) {
      return {kind: OutcomeKind.MOVED};
    }
    const outcome = await held.run(order);
    if (outcome.kind === OutcomeKind.MOVED) {
      this.dropIfFenced(held);
    }
    return outcome;
  }

  /**
   * Tells what came of a call, from a book held here or from the table.
   * @param book - Name of the book.
   * @param entryKey - Key of the entry.
   */
  async getOutcome(
    book: string,
    entryKey: string,
  ): Promise<CallOutcome | undefined> {
    return this.books.get(book)?.getOutcome(entryKey);
  }

  /** Reads one entry of a book that nobody holds, from the table. */
  async readEntry(book: string, entryKey: string): Promise<Entry | undefined> {
    const read = await this.bookTable.readEntries(book);
    if (read.isErr) {
      return undefined;
    }
    return read.value.entries.find(entry => entry.key === entryKey);
  }

  /**
   * Takes in an outcome learnt by an earlier holder.
   * @returns Whether the book is held here.
   */
  addLateOutcome(book: string, entry: Entry): boolean {
    const held = this.books.get(book);
    if (held === undefined || held.journal.isFenced()) {
      return false;
    }
    held.addLateOutcome(entry);
    return true;
  }

  /**
   * Watches the rows of the slot books, takes those that fall to this host and
   * renews those it holds. The one task of the bookkeeper; runs until aborted.
   */
  async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.look();
      await this.options.clock.sleep(this.getWatchMs(), signal);
    }
  }

  /** Looks once at all rows; see `watch`. */
  async look(): Promise<void> {
    const {leaseMs} = this.options;
    for (const book of this.books.values()) {
      book.trim();
      this.dropIfFenced(book);
      if (isSlotBook(book.id)) {
        void book.journal.renew(leaseMs / RENEWALS_PER_LEASE);
      } else if (book.id !== this.getOwnBook() && book.isEmpty()) {
        this.books.delete(book.id);
      }
    }
    const listed = await this.bookTable.list('slot-');
    if (listed.isErr) {
      return;
    }
    const byBook = new Map(listed.value.map(row => [row.book, row]));
    for (let slot = 0; slot < SLOT_COUNT; slot++) {
      const book = getSlotBook(slot);
      if (this.options.ownsSlot?.(book) === false) {
        continue;
      }
      await this.consider(book, byBook.get(book));
    }
    await this.rebalance();
  }

  /**
   * Takes a book that a peer hands on.
   * @param handover - The book.
   */
  receiveBook(handover: BookHandover): boolean {
    if (this.leaving || this.books.has(handover.position.book)) {
      return false;
    }
    this.received.set(handover.position.book, handover.from);
    const book = this.addBook(
      handover.position,
      handover.entries,
      handover.batches,
    );
    if (isSlotBook(book.id)) {
      // Puts this host's name into the row, for all who watch it.
      void book.journal.renew(0);
    }
    book.resumeAccepted();
    this.options.log.info('book_received', {
      book: handover.position.book,
      fence: handover.position.fence,
      entries: handover.entries.length,
    });
    return true;
  }

  /**
   * Hands every book on, as this host is leaving.
   *
   * Calls that run finish here; their outcomes follow to the new holder.
   * @param successors - Hosts to try, best first.
   */
  async handOver(successors: readonly string[]): Promise<void> {
    this.leaving = true;
    await Promise.all(
      [...this.books.values()].map(book => this.handOverBook(book, successors)),
    );
  }

  /** Waits until every record that can be written is written. */
  async flush(patienceMs: number): Promise<void> {
    const endMs = this.options.clock.monotonicMs() + patienceMs;
    for (const book of this.books.values()) {
      while (
        !book.journal.isIdle() &&
        this.options.clock.monotonicMs() < endMs
      ) {
        await this.options.clock.sleep(this.options.retryMs);
      }
    }
  }

  /**
   * Hands a few books to the hosts that come first in rank for them, once
   * those have lived for a while: after a cold start, or when hosts are added.
   */
  private async rebalance(): Promise<void> {
    const {host, clock, leaseMs} = this.options;
    const hosts = this.options.listLiveHosts();
    const nowMs = clock.monotonicMs();
    let moved = 0;
    for (const book of [...this.books.values()]) {
      const first = rankByRendezvous(book.id, hosts)[0];
      if (!isSlotBook(book.id) || first === host || first === undefined) {
        this.misplaced.delete(book.id);
        continue;
      }
      const sinceMs = this.misplaced.get(book.id) ?? nowMs;
      this.misplaced.set(book.id, sinceMs);
      const settled = nowMs - sinceMs >= leaseMs * LEASES_BEFORE_MOVE;
      if (settled && !this.leaving && moved < MOVES_PER_LOOK) {
        moved++;
        this.misplaced.delete(book.id);
        await this.handOverBook(book, [first]);
      }
    }
  }

  private async handOverBook(
    book: Book,
    successors: readonly string[],
  ): Promise<void> {
    book.close();
    if (!isSlotBook(book.id)) {
      // The outcomes of minted keys must be complete before another runs them.
      await book.waitForPending();
    }
    if (successors.length === 0) {
      // The book stays until what it has to say is written.
      this.logNotHandedOver(book);
      return;
    }
    await book.journal.release(HANDOVER_PATIENCE_MS);
    const ranked = rankByRendezvous(book.id, successors);
    const handover = {
      from: this.options.incarnation,
      position: book.journal.getPosition(),
      entries: book.listEntries(),
      batches: [...book.journal.listBatches()],
    };
    this.departed.add(book);
    void book.waitForPending().then(() => this.departed.delete(book));
    for (const host of ranked) {
      if (await this.options.sendBook(host, handover)) {
        this.books.delete(book.id);
        this.options.directory.handOn({
          book: book.id,
          host,
          fence: handover.position.fence,
        });
        this.options.log.info('book_handed_over', {book: book.id, to: host});
        return;
      }
    }
    book.journal.resume();
    book.record();
    this.logNotHandedOver(book);
  }

  private logNotHandedOver(book: Book): void {
    this.options.log.warn('book_not_handed_over', {
      book: book.id,
      remedy: 'another host takes it once its lease has lapsed',
    });
  }

  private async consider(
    book: string,
    listed: ListedBook | undefined,
  ): Promise<void> {
    const held = this.books.get(book);
    if (held !== undefined || this.opening.has(book)) {
      return;
    }
    const waitedMs = this.observe(book, listed);
    if (listed !== undefined && listed.row.owner !== this.options.host) {
      this.options.directory.add({
        book,
        host: listed.row.owner,
        fence: listed.row.fence,
      });
    }
    const isDue = decideTakeover({
      book,
      row: listed?.row,
      unchangedMs: waitedMs,
      self: this.options,
      liveHosts: this.options.listLiveHosts(),
      isGone: this.options.isGone,
      leaseMs: this.options.leaseMs,
    });
    if (isDue && !this.leaving) {
      await this.open(book, listed);
    }
  }

  /** Returns how long the row has been seen unchanged, in milliseconds. */
  private observe(book: string, listed: ListedBook | undefined): number {
    const version = listed?.version ?? 0;
    const nowMs = this.options.clock.monotonicMs();
    const known = this.watched.get(book);
    if (known === undefined || known.version !== version) {
      this.watched.set(book, {version, sinceMs: nowMs});
      return 0;
    }
    return nowMs - known.sinceMs;
  }

  /**
   * Takes a book again that was received from a peer, when a last write of
   * that peer, whose answer it never got, has come in between.
   */
  private async reopen(book: Book): Promise<void> {
    const listed = await this.bookTable.list(book.id);
    const row = listed.unwrapOr([])[0];
    const {fence} = book.journal.getPosition();
    const late =
      row?.row.fence === fence &&
      row.row.ownerIncarnation === this.received.get(book.id);
    if (this.leaving || row === undefined || !late) {
      return;
    }
    await this.open(book.id, row, book.listEntries());
  }

  private async open(
    book: string,
    listed: ListedBook | undefined,
    handed: readonly Entry[] = [],
  ): Promise<void> {
    const {host, incarnation, log} = this.options;
    this.opening.add(book);
    const opened = await this.bookTable.open(book, listed, {host, incarnation});
    this.opening.delete(book);
    if (opened.isErr) {
      log.warn('book_not_taken', {book, reason: opened.error.kind});
      return;
    }
    const {position, entries, batches} = opened.value;
    const corrections = findCorrections(entries, handed);
    const taken = this.addBook(position, [...entries, ...corrections], batches);
    for (const correction of corrections) {
      void taken.journal.add(correction);
    }
    log.info('book_taken', {
      book,
      fence: position.fence,
      entries: entries.length,
      previous: listed?.row.owner,
    });
    taken.resumeAccepted();
  }

  private addHostBook(): void {
    const book = this.getOwnBook();
    this.addBook({book, fence: 0, sequence: 0, version: 0}, [], []);
  }

  private addBook(
    position: BookPosition,
    entries: readonly Entry[],
    batches: readonly {sequence: number; atMs: number}[],
  ): Book {
    const options: JournalOptions = {
      table: this.options.table,
      clock: this.options.clock,
      host: this.options.host,
      incarnation: this.options.incarnation,
      spendWrite: () => this.budget.spend(),
      lingerMs: this.options.lingerMs,
      retryMs: this.options.retryMs,
      retentionMs: this.options.retentionMs,
    };
    const journal = new Journal(position, batches, options);
    const book = new Book(position.book, journal, entries, {
      ...this.options.book,
      incarnation: this.options.incarnation,
      onOrphanedOutcome: (id, entry) => void this.delivery.deliver(id, entry),
      recordsFirst: this.options.recordsFirst(position.book),
    });
    this.books.set(position.book, book);
    this.options.directory.add({
      book: position.book,
      host: this.options.host,
      fence: position.fence,
    });
    return book;
  }

  private dropIfFenced(book: Book): void {
    if (!book.journal.isFenced()) {
      return;
    }
    this.books.delete(book.id);
    this.options.directory.remove(book.id, this.options.host);
    this.options.log.warn('book_lost', {
      book: book.id,
      reason: 'another host has written to it',
    });
    void this.reopen(book);
  }

  private getWriteRate(): number {
    const hosts = Math.max(1, this.options.listLiveHosts().length);
    return this.options.writesPerSecond / Math.min(hosts, SLOT_COUNT);
  }

  private getWatchMs(): number {
    const hosts = this.options.listLiveHosts().length;
    const spreadMs = (hosts * 1000) / WATCH_READS_PER_SECOND;
    return Math.max(this.options.watchMs, spreadMs);
  }
}
