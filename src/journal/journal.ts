import {Result} from 'true-myth';
import {
  ABSENT,
  Step,
  StepKind,
  TableFailureKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';
import {BookRow, getBatchKey, getBookKey} from './book_row.js';
import {Entry} from './entry.js';

/** Write position of the holder of a book (its row's `owner`). */
export interface BookPosition {
  readonly book: string;
  readonly fence: number;
  readonly sequence: number;
  /** Version of the book's row after the last write of its holder. */
  readonly version: number;
}

/** Reasons for which an append can fail. */
export const AppendFailure = {
  /**
   * The journal does not write: another host has taken the book, or this host has
   * released it. A write that was in progress when `release` timed out may still have
   * taken effect. After a release, `resume` allows writing again.
   */
  FENCED: 'fenced',
  /** Not known to be written within the timeout; the entry may still be written. */
  UNAVAILABLE: 'unavailable',
} as const;
export type AppendFailure = (typeof AppendFailure)[keyof typeof AppendFailure];

/** Options of a journal. */
export interface JournalOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly host: string;
  readonly incarnation: string;
  /** Waits until the host's write budget allows one more write, and uses it. */
  readonly takeWriteBudget: () => Promise<void>;
  /**
   * Longest time entries wait for others to share their batch, in milliseconds.
   * `append` and `release` cut this wait short.
   */
  readonly lingerMs: number;
  /** Pause before a failed or unanswered write is retried, in milliseconds. */
  readonly retryMs: number;
  /** Retention of batches, in milliseconds. */
  readonly retentionMs: number;
}

/** An entry that is waiting to be written. */
interface QueuedEntry {
  readonly entry: Entry;
  readonly settle: (result: Result<void, AppendFailure>) => void;
}

/** A batch in the table, to be deleted after the retention. */
export interface WrittenBatch {
  readonly sequence: number;
  readonly atMs: number;
}

const MAX_BATCH_ENTRIES = 500;
const MAX_TRIMMED_BATCHES = 20;

/**
 * Writes the entries of one book in batches (group commit).
 *
 * Each write is conditional on the version of the book's row that this holder
 * wrote last. A host that takes the book over changes that row, so a delayed write
 * of an earlier holder has no effect: the row acts as the fence.
 */
export class Journal {
  private position: BookPosition;
  private queue: QueuedEntry[] = [];
  private writtenBatches: WrittenBatch[];
  private writing = false;
  /** Aborted to write the next batch without waiting for further entries. */
  private lingerAbort = new AbortController();
  /** Whether the book was released by this host or taken by another. */
  private fenced = false;
  private lastWriteMs: number;
  private writes = 0;

  /**
   * @param position - Write position of this holder.
   * @param batches - Batches already in the table, to be deleted in time.
   */
  constructor(
    position: BookPosition,
    batches: readonly WrittenBatch[],
    private readonly options: JournalOptions,
  ) {
    this.position = position;
    this.writtenBatches = [...batches];
    this.lastWriteMs = options.clock.monotonicMs();
  }

  /** Returns the write position of this holder. */
  getPosition(): BookPosition {
    return this.position;
  }

  /** Returns the batches in the table that have not been deleted yet. */
  listBatches(): readonly WrittenBatch[] {
    return this.writtenBatches;
  }

  /**
   * Waits for pending writes and then stops writing, so that the book can be handed
   * over. Entries that are not known to be written by the timeout fail with `FENCED`.
   * @param timeoutMs - Longest wait for pending writes, in milliseconds.
   */
  async release(timeoutMs: number): Promise<void> {
    const {clock, retryMs} = this.options;
    const endMs = clock.monotonicMs() + timeoutMs;
    // Writes the queued entries without waiting for others.
    this.lingerAbort.abort();
    while (!this.isIdle() && clock.monotonicMs() < endMs) {
      await clock.sleep(retryMs);
    }
    this.fenced = true;
    this.settleFenced();
  }

  /**
   * Resumes writing after `release`, if the handover failed. This does not check
   * whether another host has taken the book; if one has written the row, the next
   * write here fails its condition and fences the journal again.
   */
  resume(): void {
    this.fenced = false;
  }

  /** Returns whether the book was released by this host or taken by another. */
  isFenced(): boolean {
    return this.fenced;
  }

  /** Returns whether no write is pending or in progress. */
  isIdle(): boolean {
    return !this.writing && this.queue.length === 0;
  }

  /**
   * Writes an entry and waits until it is durable.
   * @param entry - The entry.
   * @param timeoutMs - Longest wait, in milliseconds.
   * @param onWritten - See `add`.
   */
  async append(
    entry: Entry,
    timeoutMs: number,
    onWritten: () => void,
  ): Promise<Result<void, AppendFailure>> {
    if (this.fenced) {
      return Result.err(AppendFailure.FENCED);
    }
    const cancelTimer = new AbortController();
    const writeResult = this.enqueue(entry, onWritten);
    // Writes the entry without waiting for others.
    this.lingerAbort.abort();
    const timeout = this.options.clock
      .sleep(timeoutMs, cancelTimer.signal)
      .then(() => Result.err<void, AppendFailure>(AppendFailure.UNAVAILABLE));
    const result = await Promise.race([writeResult, timeout]);
    cancelTimer.abort();
    return result;
  }

  /**
   * Writes an entry in the background, batched with others where possible.
   * @param entry - The entry.
   * @param onWritten - Called synchronously when the journal learns that the entry
   *   is durable. Code that awaits the returned promise runs later, and the book may
   *   be handed over in between.
   */
  add(
    entry: Entry,
    onWritten: () => void = () => undefined,
  ): Promise<Result<void, AppendFailure>> {
    if (this.fenced) {
      return Promise.resolve(Result.err(AppendFailure.FENCED));
    }
    return this.enqueue(entry, onWritten);
  }

  /**
   * Rewrites the book's row unless it was written recently. Another host may take
   * the book over once its row has not changed for the time of a lease.
   * @param idleMs - Least age of the last write for a renewal, in milliseconds.
   */
  async renew(idleMs: number): Promise<void> {
    const ageMs = this.options.clock.monotonicMs() - this.lastWriteMs;
    if (this.fenced || this.writing || ageMs < idleMs) {
      return;
    }
    this.writing = true;
    await this.commit([]);
    this.writing = false;
    this.startWriting();
  }

  private enqueue(
    entry: Entry,
    onWritten: () => void,
  ): Promise<Result<void, AppendFailure>> {
    return new Promise(resolve => {
      const settle = (result: Result<void, AppendFailure>) => {
        if (result.isOk) {
          onWritten();
        }
        resolve(result);
      };
      this.queue.push({entry, settle});
      this.startWriting();
    });
  }

  private startWriting(): void {
    if (this.writing || this.queue.length === 0) {
      return;
    }
    this.writing = true;
    void this.writeAll();
  }

  private async writeAll(): Promise<void> {
    while (this.queue.length > 0 && !this.fenced) {
      await this.options.clock.sleep(this.options.lingerMs, this.lingerAbort.signal);
      await this.options.takeWriteBudget();
      this.lingerAbort = new AbortController();
      const batch = this.queue.splice(0, MAX_BATCH_ENTRIES);
      const result = await this.commit(batch.map(queued => queued.entry));
      for (const queued of batch) {
        queued.settle(result);
      }
    }
    this.writing = false;
    if (this.fenced) {
      this.settleFenced();
    }
  }

  private settleFenced(): void {
    for (const queued of this.queue.splice(0)) {
      queued.settle(Result.err(AppendFailure.FENCED));
    }
  }

  /**
   * Retries one conditional write until it is known to have taken effect or the
   * journal is fenced.
   */
  private async commit(
    entries: readonly Entry[],
  ): Promise<Result<void, AppendFailure>> {
    const {clock, retryMs} = this.options;
    const sequence = this.position.sequence + (entries.length > 0 ? 1 : 0);
    const token = `${this.options.incarnation}-${this.position.fence}-${this.writes++}`;
    const row = this.createRow(sequence, token);
    const trimmed = this.getTrimmable();
    const steps = this.createSteps(row, entries, trimmed);
    while (!this.fenced) {
      const commit = await this.options.table.transact(steps);
      if (this.fenced) {
        // `release` has timed out in the meantime. The position that is handed over
        // does not include this batch, whether or not it was written.
        break;
      }
      if (commit.isOk) {
        const version = commit.value.versions[getBookKey(this.position.book)];
        this.advance(sequence, version ?? 0, entries.length > 0, trimmed);
        return Result.ok(undefined);
      }
      if (commit.error.kind === TableFailureKind.CONFLICT) {
        const ownWrite = await this.findOwnWrite(token);
        if (ownWrite === 'unanswered') {
          await clock.sleep(retryMs);
          continue;
        }
        if (ownWrite === undefined) {
          this.fenced = true;
          this.settleFenced();
          return Result.err(AppendFailure.FENCED);
        }
        this.advance(sequence, ownWrite, entries.length > 0, trimmed);
        return Result.ok(undefined);
      }
      await clock.sleep(retryMs);
    }
    return Result.err(AppendFailure.FENCED);
  }

  /**
   * Checks after a conflict whether an earlier, unanswered try of the write took
   * effect.
   * @returns The version of the row if it did, `undefined` if it did not, and
   *   `'unanswered'` if the row could not be read.
   */
  private async findOwnWrite(
    token: string,
  ): Promise<number | undefined | 'unanswered'> {
    const found = await this.options.table.get(getBookKey(this.position.book));
    if (found.isErr) {
      return 'unanswered';
    }
    const row = found.value?.value as BookRow | undefined;
    return row?.token === token ? found.value?.version : undefined;
  }

  private advance(
    sequence: number,
    version: number,
    wroteBatch: boolean,
    trimmed: readonly WrittenBatch[],
  ): void {
    this.position = {...this.position, sequence, version};
    this.lastWriteMs = this.options.clock.monotonicMs();
    this.writtenBatches = this.writtenBatches.filter(batch => !trimmed.includes(batch));
    if (wroteBatch) {
      this.writtenBatches.push({sequence, atMs: this.options.clock.now().getTime()});
    }
  }

  private createRow(sequence: number, token: string): BookRow {
    return {
      owner: this.options.host,
      ownerIncarnation: this.options.incarnation,
      fence: this.position.fence,
      sequence,
      token,
    };
  }

  private createSteps(
    row: BookRow,
    entries: readonly Entry[],
    trimmed: readonly WrittenBatch[],
  ): Step[] {
    const {book, version} = this.position;
    const steps: Step[] = [
      {
        kind: StepKind.PUT,
        key: getBookKey(book),
        ifVersion: version,
        value: row,
      },
    ];
    if (entries.length > 0) {
      steps.push({
        kind: StepKind.PUT,
        key: getBatchKey(book, row.sequence),
        ifVersion: ABSENT,
        value: {entries},
      });
    }
    for (const batch of trimmed) {
      steps.push({
        kind: StepKind.DELETE,
        key: getBatchKey(book, batch.sequence),
      });
    }
    return steps;
  }

  private getTrimmable(): WrittenBatch[] {
    const nowMs = this.options.clock.now().getTime();
    const oldestKept = nowMs - this.options.retentionMs;
    const trimmable = this.writtenBatches.filter(batch => batch.atMs < oldestKept);
    return trimmable.slice(0, MAX_TRIMMED_BATCHES);
  }
}
