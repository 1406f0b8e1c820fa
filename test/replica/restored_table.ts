import {Random} from '../../src/random/index.js';
import {RowReplica, VersionedRow} from '../../src/replica/index.js';
import {createVersion} from '../../src/table/index.js';

/** Content of a table at one time. */
interface TableCopy {
  readonly rows: ReadonlyMap<string, VersionedRow>;
  readonly number: number;
}

/** What the author of a row has written last; removed if there is no text. */
interface AuthoredRow {
  sequence: number;
  state: string | undefined;
}

/** Number of steps for which copies of the table are kept. */
const COPIES = 30;

/** Formats a row with the sequence by which rows of different eras are ordered. */
export function formatText(state: string, sequence: number): string {
  return `${state}#${sequence}`;
}

/** Parses the sequence of a row. */
export function getSequence(text: string): readonly number[] {
  return [Number(text.split('#')[1])];
}

/** Creates a replica whose rows are ordered by sequence over eras. */
export function createReplica(): RowReplica {
  return new RowReplica({
    getSignificantContent: text => text.split('#')[0] ?? '',
    getSequence,
  });
}

/**
 * A table whose rows are written by authors, each with a rising sequence. It may be restored
 * from a copy; the authors then write again what is lost.
 */
export class RestoredTable {
  readonly authored = new Map<string, AuthoredRow>();
  private rows = new Map<string, VersionedRow>();
  private number = 1;
  private era = 0;
  private copies: TableCopy[] = [];

  constructor(private readonly random: Random) {}

  /** Writes or removes a row as its author does. */
  write(key: string, state: string | undefined): void {
    const row = this.authored.get(key) ?? {sequence: 0, state: undefined};
    row.sequence++;
    row.state = state;
    this.authored.set(key, row);
    this.store(key);
  }

  /** Keeps a copy of the table. */
  keepCopy(): void {
    this.copies.push({rows: new Map(this.rows), number: this.number});
    this.copies = this.copies.slice(-COPIES);
  }

  /** Restores the table from one of the copies. */
  restore(): void {
    const index = Math.floor(this.random.next() * this.copies.length);
    const copy = this.copies[index];
    if (copy !== undefined) {
      // The rows keep the numbers that they had; the version tells the era of the answer.
      this.rows = new Map(copy.rows);
      this.number = copy.number;
      this.era++;
      this.copies = [];
    }
  }

  /** Lets the authors write again what the table has lost. */
  writeAgain(): void {
    for (const [key, {state, sequence}] of this.authored) {
      const text = this.rows.get(key)?.text;
      const expected =
        state === undefined ? undefined : formatText(state, sequence);
      if (text !== expected) {
        this.write(key, state);
      }
    }
  }

  /** Returns all rows that are not removed. */
  read(): {rows: VersionedRow[]; version: number} {
    const rows = [...this.rows.values()]
      .filter(({text}) => text !== undefined)
      .map(row => this.stamp(row));
    return {rows, version: createVersion(this.era, this.number)};
  }

  private stamp(row: VersionedRow): VersionedRow {
    return {...row, version: createVersion(this.era, row.version)};
  }

  private store(key: string): void {
    const {state, sequence} = this.authored.get(key) as AuthoredRow;
    this.number++;
    const text = state === undefined ? {} : {text: formatText(state, sequence)};
    this.rows.set(key, {key, version: this.number, ...text});
  }
}
