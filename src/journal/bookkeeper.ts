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

/** Options of the bookkeeper. */
export interface BookkeeperOptions {
  readonly host: string;
  readonly incarnation: string;
  readonly table: TableService;
  readonly clock: Clock;
  readonly log: Log;
  readonly directory: BookDirectory;
  /** Returns the names of the live entry hosts, including this one. */
  readonly listLiveHosts: () => readonly string[];
  /** Returns whether an incarnation of a host is known to have terminated. */
  readonly hasTerminated: (host: string, incarnation: string) => boolean;
  /** Common options of all books. */
  readonly book: Omit<
    BookOptions,
    'incarnation' | 'recordsFirst' | 'onUnrecordedEntry'
  >;
  /** Limit on the table writes per second for books, over all hosts. */
  readonly writesPerSecond: number;
  /** Time after which an unchanged row may be taken over, in milliseconds. */
  readonly leaseMs: number;
  /** Shortest interval between two checks of the rows, in milliseconds. */
  readonly watchMs: number;
  readonly lingerMs: number;
  readonly retryMs: number;
  readonly retentionMs: number;
  /** Returns whether the calls of a book are recorded before dispatch. */
  readonly recordsFirst: (book: string) => boolean;
  /** Returns whether a slot book is used; without this option all are. */
  readonly ownsSlot?: (book: string) => boolean;
  /** Sends a book to a peer; resolves to whether the peer has taken it. */
  readonly sendBook: (host: string, book: BookHandover) => Promise<boolean>;
  /** Sends an outcome to the holder of its book; resolves to whether it was taken. */
  readonly sendOutcome: (
    host: string,
    book: string,
    entry: Entry,
  ) => Promise<boolean>;
}

/** A row as this host has observed it. */
interface WatchedRow {
  readonly version: number;
  /** Time at which this version was first seen, on the monotonic clock, in ms. */
  readonly sinceMs: number;
}

/** Limit on the checks of the book rows per second, over all hosts. */
const MAX_CHECKS_PER_SECOND = 100;
/** Longest time for which pending writes of a book may delay its handover. */
const HANDOVER_TIMEOUT_MS = 2000;
/** Leases for which another host must rank first before a book is moved to it. */
const LEASES_BEFORE_MOVE = 2;
const MAX_MOVES_PER_CHECK = 2;
/** Number of renewals within the duration of a lease. */
const RENEWALS_PER_LEASE = 3;

/** Manages the books held by this host: takes, renews and hands them over. */
export class Bookkeeper {
  private readonly books = new Map<string, Book>();
  private readonly watched = new Map<string, WatchedRow>();
  private readonly opening = new Set<string>();
  /** Books for which another host ranks first, and since when, in monotonic ms. */
  private readonly misplaced = new Map<string, number>();
  private readonly seenCopies = new SeenCopies();
  /** Incarnations from which books were received, by book. */
  private readonly senderIncarnations = new Map<string, string>();
  /** Books handed over whose running calls finish on this host. */
  private readonly handedOverBooks = new Set<Book>();
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
      addToLocalBook: (book, entry) => this.addLateOutcome(book, entry),
      getOtherHolder: book => {
        const holder = options.directory.getHolder(book);
        return holder === options.host ? undefined : holder;
      },
      send: options.sendOutcome,
      retryMs: options.watchMs / 2,
    });
    this.addHostBook();
  }

  /** Returns the name of the book of the keys minted by this host. */
  getOwnBook(): string {
    return getHostBook(this.options.host, this.options.incarnation);
  }

  /** Returns the host to which this host's own book was handed over, if any. */
  getOwnHolder(): string | undefined {
    const holder = this.options.directory.getHolder(this.getOwnBook());
    return holder === this.options.host ? undefined : holder;
  }

  /** Returns the positions of the books held by this host, with their fences. */
  listHeld(): readonly BookPosition[] {
    return [...this.books.values()].map(book => book.journal.getPosition());
  }

  /**
   * Returns the number of calls running on this host, in held and in handed-over
   * books, plus the outcomes being delivered to another holder. While this host is
   * leaving, books with pending writes count as well.
   */
  countPending(): number {
    let count = this.delivery.countInFlight();
    for (const book of [...this.books.values(), ...this.handedOverBooks]) {
      count += book.countPending();
      count += this.leaving && !book.journal.isIdle() ? 1 : 0;
    }
    return count;
  }

  /**
   * Runs a call if this host holds its book.
   * @param book - Name of the book.
   * @param order - The call.
   */
  async run(book: string, order: CallOrder): Promise<CallOutcome> {
    const held = this.books.get(book);
    const isNew = this.seenCopies.add(order.instance, order.copy);
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
   * Returns the outcome of a call from a book held by this host.
   * @param book - Name of the book.
   * @param entryKey - Key of the entry.
   * @returns The outcome; `undefined` if the book is not held or has no such entry.
   */
  async getOutcome(
    book: string,
    entryKey: string,
  ): Promise<CallOutcome | undefined> {
    return this.books.get(book)?.getOutcome(entryKey);
  }

  /** Reads one entry from the table, whether or not any host holds its book. */
  async readEntry(book: string, entryKey: string): Promise<Entry | undefined> {
    const read = await this.bookTable.readEntries(book);
    if (read.isErr) {
      return undefined;
    }
    return read.value.entries.find(entry => entry.key === entryKey);
  }

  /**
   * Adds an outcome learnt by an earlier holder of a book.
   * @returns Whether this host holds the book.
   */
  addLateOutcome(book: string, entry: Entry): boolean {
    const held = this.books.get(book);
    if (held === undefined || held.journal.isFenced()) {
      return false;
    }
    held.addDeliveredOutcome(entry);
    return true;
  }

  /**
   * Checks the rows of the slot books periodically, takes the books due to this host
   * and renews those it holds. The only background task of the bookkeeper; runs until
   * aborted.
   */
  async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.checkRows();
      await this.options.clock.sleep(this.getWatchMs(), signal);
    }
  }

  /** Checks all rows once; see `watch`. */
  async checkRows(): Promise<void> {
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
      await this.considerTakeover(book, byBook.get(book));
    }
    await this.rebalance();
  }

  /**
   * Takes a book that a peer hands over.
   * @param handover - The book.
   * @returns Whether this host has taken it.
   */
  receiveBook(handover: BookHandover): boolean {
    if (this.leaving || this.books.has(handover.position.book)) {
      return false;
    }
    this.senderIncarnations.set(handover.position.book, handover.from);
    const book = this.addBook(
      handover.position,
      handover.entries,
      handover.batches,
    );
    if (isSlotBook(book.id)) {
      // Writes this host's name into the row, which the other hosts check.
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
   * Hands all books over because this host is leaving.
   *
   * Running calls finish on this host; their outcomes are sent to the new holder.
   * @param successors - Hosts that may take the books.
   */
  async handOver(successors: readonly string[]): Promise<void> {
    this.leaving = true;
    await Promise.all(
      [...this.books.values()].map(book => this.handOverBook(book, successors)),
    );
  }

  /**
   * Waits until all pending records are written.
   * @param timeoutMs - Longest wait, in milliseconds.
   */
  async flush(timeoutMs: number): Promise<void> {
    const endMs = this.options.clock.monotonicMs() + timeoutMs;
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
   * Hands a few books over to the hosts that rank first for them, once another host
   * has ranked first for some time. This happens after a cold start and when hosts
   * are added.
   */
  private async rebalance(): Promise<void> {
    const {host, clock, leaseMs} = this.options;
    const hosts = this.options.listLiveHosts();
    const nowMs = clock.monotonicMs();
    let moved = 0;
    for (const book of [...this.books.values()]) {
      const preferredHost = rankByRendezvous(book.id, hosts)[0];
      if (!isSlotBook(book.id) || preferredHost === host || preferredHost === undefined) {
        this.misplaced.delete(book.id);
        continue;
      }
      const sinceMs = this.misplaced.get(book.id) ?? nowMs;
      this.misplaced.set(book.id, sinceMs);
      const settled = nowMs - sinceMs >= leaseMs * LEASES_BEFORE_MOVE;
      if (settled && !this.leaving && moved < MAX_MOVES_PER_CHECK) {
        moved++;
        this.misplaced.delete(book.id);
        await this.handOverBook(book, [preferredHost]);
      }
    }
  }

  private async handOverBook(
    book: Book,
    successors: readonly string[],
  ): Promise<void> {
    book.close();
    if (!isSlotBook(book.id)) {
      // The outcomes of minted keys must be complete before another host holds them.
      await book.waitForPending();
    }
    if (successors.length === 0) {
      // The book stays on this host until its records are written.
      this.logNotHandedOver(book);
      return;
    }
    await book.journal.release(HANDOVER_TIMEOUT_MS);
    const ranked = rankByRendezvous(book.id, successors);
    const handover = {
      from: this.options.incarnation,
      position: book.journal.getPosition(),
      entries: book.listEntries(),
      batches: [...book.journal.listBatches()],
    };
    this.handedOverBooks.add(book);
    void book.waitForPending().then(() => this.handedOverBooks.delete(book));
    for (const host of ranked) {
      if (await this.options.sendBook(host, handover)) {
        this.books.delete(book.id);
        this.options.directory.handOver({
          book: book.id,
          host,
          fence: handover.position.fence,
        });
        this.options.log.info('book_handed_over', {book: book.id, to: host});
        return;
      }
    }
    book.journal.resume();
    book.rewriteEntries();
    this.logNotHandedOver(book);
  }

  private logNotHandedOver(book: Book): void {
    this.options.log.warn('book_not_handed_over', {
      book: book.id,
      remedy: 'another host takes the book after its lease has expired',
    });
  }

  private async considerTakeover(
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
      hasTerminated: this.options.hasTerminated,
      leaseMs: this.options.leaseMs,
    });
    if (isDue && !this.leaving) {
      await this.open(book, listed);
    }
  }

  /** Returns for how long the row has been seen unchanged, in milliseconds. */
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
   * Takes a book again that was received from a peer, if it was fenced by a last
   * write of that peer, to which the peer never received the answer.
   */
  private async reopen(book: Book): Promise<void> {
    const listed = await this.bookTable.list(book.id);
    const row = listed.unwrapOr([])[0];
    const {fence} = book.journal.getPosition();
    const isWriteOfSender =
      row?.row.fence === fence &&
      row.row.ownerIncarnation === this.senderIncarnations.get(book.id);
    if (this.leaving || row === undefined || !isWriteOfSender) {
      return;
    }
    await this.open(book.id, row, book.listEntries());
  }

  private async open(
    book: string,
    listed: ListedBook | undefined,
    handedOver: readonly Entry[] = [],
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
    const corrections = findCorrections(entries, handedOver);
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
      takeWriteBudget: () => this.budget.spend(),
      lingerMs: this.options.lingerMs,
      retryMs: this.options.retryMs,
      retentionMs: this.options.retentionMs,
    };
    const journal = new Journal(position, batches, options);
    const book = new Book(position.book, journal, entries, {
      ...this.options.book,
      incarnation: this.options.incarnation,
      onUnrecordedEntry: (id, entry) => void this.delivery.deliver(id, entry),
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
      reason: 'another host has written to this book',
    });
    void this.reopen(book);
  }

  private getWriteRate(): number {
    const hosts = Math.max(1, this.options.listLiveHosts().length);
    return this.options.writesPerSecond / Math.min(hosts, SLOT_COUNT);
  }

  private getWatchMs(): number {
    const hosts = this.options.listLiveHosts().length;
    const spreadMs = (hosts * 1000) / MAX_CHECKS_PER_SECOND;
    return Math.max(this.options.watchMs, spreadMs);
  }
}
