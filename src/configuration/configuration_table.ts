import {Result} from 'true-myth';
import {
  ABSENT,
  Row,
  Step,
  StepKind,
  TableFailure,
  TableFailureKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';
import {
  ConfigurationDelta,
  getRecordKey,
  RecordDocument,
  RecordKind,
  StoredRecord,
} from './stored_record.js';

const HEAD_KEY = 'config/head';
const RECORD_PREFIX = 'config/records/';
const CHANGE_PREFIX = 'config/changes/';
const REVISION_DIGITS = 10;
const MAX_READ_ATTEMPTS = 4;
const RETRY_INTERVAL_MS = 100;

/** Value of the row that holds the revision of the whole configuration. */
interface Head {
  readonly revision: number;
}

/** A change that an operator requests. */
export interface ConfigurationChange {
  readonly kind: RecordKind;
  readonly name: string;
  /** New document; null to delete the record. */
  readonly document: RecordDocument | null;
  /** Revision of the record that the change is based on; 0 when it must not exist. */
  readonly madeOn: number;
  /** Unique id of the change. */
  readonly changeId: string;
}

/** Reasons for which a change can fail. */
export const ChangeFailureKind = {
  /** The record is not at the revision that the change is based on. */
  CONFLICT: 'conflict',
  /**
   * Nothing was written before the time limit: the table could not be reached,
   * or other changes were always written first.
   */
  UNREACHED: 'unreached',
  /** Whether the change was written could not be determined within the time limit. */
  UNANSWERED: 'unanswered',
} as const;

/** Failures of one write attempt after which the write is tried again. */
const RetryableFailure = {
  /** The configuration changed between the read and the write. */
  OVERTAKEN: 'overtaken',
  UNREACHED: TableFailureKind.UNREACHED,
  UNANSWERED: TableFailureKind.UNANSWERED,
} as const;
type RetryableFailure =
  (typeof RetryableFailure)[keyof typeof RetryableFailure];

/** A failed change. */
export interface ChangeFailure {
  readonly kind: (typeof ChangeFailureKind)[keyof typeof ChangeFailureKind];
  /** On a conflict: the current record. */
  readonly winner?: StoredRecord;
}

/** Reads and writes the configuration in the platform's table. */
export class ConfigurationTable {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  /** Reads the revision of the whole configuration; 0 before the first change. */
  async getRevision(): Promise<Result<number, TableFailure>> {
    const head = await this.table.get(HEAD_KEY);
    return head.map(row => (row?.value as Head | undefined)?.revision ?? 0);
  }

  /**
   * Reads all records of one revision.
   *
   * The revision is read before and after the records. Only if both are equal
   * do the records belong to a single revision; otherwise the read is repeated,
   * up to `MAX_READ_ATTEMPTS` times.
   */
  async read(): Promise<Result<ConfigurationDelta, TableFailure>> {
    let failure: TableFailure = {
      kind: TableFailureKind.UNANSWERED,
      detail: 'the configuration changed during every attempt to read it',
    };
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
      const before = await this.getRevision();
      const rows = await this.table.list(RECORD_PREFIX);
      const after = await this.getRevision();
      if (before.isErr || rows.isErr || after.isErr) {
        failure = before.isErr
          ? before.error
          : rows.isErr
            ? rows.error
            : after.isErr
              ? after.error
              : failure;
        continue;
      }
      if (before.value === after.value) {
        const records = rows.value.map(row => row.value as StoredRecord);
        return Result.ok({after: 0, revision: after.value, records});
      }
    }
    return Result.err(failure);
  }

  /**
   * Writes a change as the next revision, unless the record has changed since.
   *
   * If the response to a write is lost, the write is tried again: the change id
   * shows whether the first attempt took effect, and the conditions on the row
   * versions prevent it from taking effect later.
   * @param change - The change.
   * @param timeoutMs - How long to retry, in milliseconds.
   */
  async write(
    change: ConfigurationChange,
    timeoutMs: number,
  ): Promise<Result<StoredRecord, ChangeFailure>> {
    const endMs = this.clock.monotonicMs() + timeoutMs;
    let inDoubt = false;
    for (;;) {
      const attempt = await this.writeOnce(change, inDoubt);
      if (attempt.isOk) {
        return Result.ok(attempt.value);
      }
      if (typeof attempt.error === 'object') {
        return Result.err(attempt.error);
      }
      inDoubt ||= attempt.error === RetryableFailure.UNANSWERED;
      if (this.clock.monotonicMs() >= endMs) {
        const kind = inDoubt
          ? ChangeFailureKind.UNANSWERED
          : ChangeFailureKind.UNREACHED;
        return Result.err({kind});
      }
      await this.clock.sleep(RETRY_INTERVAL_MS);
    }
  }

  private async writeOnce(
    change: ConfigurationChange,
    inDoubt: boolean,
  ): Promise<Result<StoredRecord, ChangeFailure | RetryableFailure>> {
    const recordKey = RECORD_PREFIX + getRecordKey(change.kind, change.name);
    const head = await this.table.get(HEAD_KEY);
    const row = await this.table.get(recordKey);
    if (head.isErr || row.isErr) {
      return Result.err(RetryableFailure.UNREACHED);
    }
    const current = row.value?.value as StoredRecord | undefined;
    if (current?.changeId === change.changeId) {
      return Result.ok(current);
    }
    const currentRevision =
      current?.document === null ? 0 : (current?.revision ?? 0);
    if (currentRevision !== change.madeOn) {
      return inDoubt
        ? this.findSuperseded(change, current)
        : Result.err(toConflict(current));
    }
    const latestRevision =
      (head.value?.value as Head | undefined)?.revision ?? 0;
    const record = createRecord(change, latestRevision + 1);
    const commit = await this.table.transact([
      createPut(HEAD_KEY, head.value, {revision: record.revision}),
      createPut(recordKey, row.value, record),
      createPut(getChangeKey(record.revision), undefined, record),
    ]);
    if (commit.isOk) {
      return Result.ok(record);
    }
    return Result.err(
      commit.error.kind === TableFailureKind.CONFLICT
        ? RetryableFailure.OVERTAKEN
        : commit.error.kind,
    );
  }

  /** Determines whether a change in doubt was written and then replaced by a later change. */
  private async findSuperseded(
    change: ConfigurationChange,
    winner: StoredRecord | undefined,
  ): Promise<Result<StoredRecord, ChangeFailure | RetryableFailure>> {
    const rows = await this.table.list(CHANGE_PREFIX);
    if (rows.isErr) {
      return Result.err(RetryableFailure.UNREACHED);
    }
    for (const row of rows.value) {
      const record = row.value as StoredRecord;
      if (record.changeId === change.changeId) {
        return Result.ok(record);
      }
    }
    return Result.err(toConflict(winner));
  }
}

function createRecord(
  change: ConfigurationChange,
  revision: number,
): StoredRecord {
  return {
    kind: change.kind,
    name: change.name,
    revision,
    document: change.document,
    changeId: change.changeId,
  };
}

function getChangeKey(revision: number): string {
  return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

function createPut(key: string, row: Row | undefined, value: unknown): Step {
  return {
    kind: StepKind.PUT,
    key,
    ifVersion: row?.version ?? ABSENT,
    value,
  };
}

function toConflict(winner: StoredRecord | undefined): ChangeFailure {
  return {
    kind: ChangeFailureKind.CONFLICT,
    ...(winner === undefined ? {} : {winner}),
  };
}
