import {Result} from 'true-myth';
import {
  ABSENT,
  Row,
  StepKind,
  TableFailure,
  TableService,
} from '../table/index.js';
import {
  BatchRow,
  BOOK_PREFIX,
  BookRow,
  getBatchPrefix,
  getBookKey,
} from './book_row.js';
import {Entry} from './entry.js';
import {BookPosition} from './journal.js';

/** A book's row as last read. */
export interface ListedBook {
  readonly book: string;
  readonly row: BookRow;
  readonly version: number;
}

/** A book as its new owner has read it from the table. */
export interface OpenedBook {
  readonly position: BookPosition;
  /** Last state of each key, in the order in which the keys were first written. */
  readonly entries: readonly Entry[];
  /** Batches of the book, with the time of their newest entry. */
  readonly batches: readonly {
    readonly sequence: number;
    readonly atMs: number;
  }[];
}

/** Reads books in the table and takes ownership of them. */
export class BookTable {
  constructor(private readonly table: TableService) {}

  /** Reads the rows of all books whose names start with a prefix. */
  async list(
    prefix: string,
  ): Promise<Result<readonly ListedBook[], TableFailure>> {
    const rows = await this.table.list(BOOK_PREFIX + prefix);
    return rows.map(found => found.map(toListedBook));
  }

  /**
   * Takes ownership of a book under a higher fence, then reads its entries.
   *
   * The order matters: once the row has changed, no other host can add to the
   * book, so the entries read afterwards are complete.
   * @param book - Name of the book.
   * @param seen - Its row as last read; `undefined` if it has none.
   * @param owner - The new owner.
   */
  async open(
    book: string,
    seen: ListedBook | undefined,
    owner: {readonly host: string; readonly incarnation: string},
  ): Promise<Result<OpenedBook, TableFailure>> {
    const fence = (seen?.row.fence ?? 0) + 1;
    const row: BookRow = {
      owner: owner.host,
      ownerIncarnation: owner.incarnation,
      fence,
      sequence: seen?.row.sequence ?? 0,
      token: `${owner.incarnation}-${fence}-open`,
    };
    const key = getBookKey(book);
    const taken = await this.table.transact([
      {
        kind: StepKind.PUT,
        key,
        ifVersion: seen?.version ?? ABSENT,
        value: row,
      },
    ]);
    if (taken.isErr) {
      return Result.err(taken.error);
    }
    const entries = await this.readEntries(book);
    const version = taken.value.versions[key] ?? 0;
    return entries.map(read => ({
      position: {book, fence, sequence: row.sequence, version},
      ...read,
    }));
  }

  /** Reads the entries of a book without taking ownership of it. */
  async readEntries(
    book: string,
  ): Promise<Result<Omit<OpenedBook, 'position'>, TableFailure>> {
    const rows = await this.table.list(getBatchPrefix(book));
    return rows.map(found => {
      const entries = new Map<string, Entry>();
      for (const row of found) {
        for (const entry of (row.value as BatchRow).entries) {
          entries.set(entry.key, entry);
        }
      }
      return {entries: [...entries.values()], batches: found.map(toBatch)};
    });
  }
}

function toListedBook(row: Row): ListedBook {
  return {
    book: row.key.slice(BOOK_PREFIX.length),
    row: row.value as BookRow,
    version: row.version,
  };
}

function toBatch(row: Row): {sequence: number; atMs: number} {
  const sequence = Number(row.key.slice(row.key.lastIndexOf('/') + 1));
  let atMs = 0;
  for (const entry of (row.value as BatchRow).entries) {
    atMs = Math.max(atMs, entry.atMs);
  }
  return {sequence, atMs};
}
