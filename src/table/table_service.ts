import {Result} from 'true-myth';

/** Version in a condition that means that the row must not exist. */
export const ABSENT = 0;

/** A row of the table. */
export interface Row {
  readonly key: string;
  /** Increases with every write to the row; never `ABSENT`. See `createVersion`. */
  readonly version: number;
  readonly value: unknown;
}

/** Kinds of step in a transaction. */
export const StepKind = {
  CHECK: 'check',
  PUT: 'put',
  DELETE: 'delete',
} as const;

/** One step of a transaction; either all steps take effect or none. */
export interface Step {
  readonly kind: (typeof StepKind)[keyof typeof StepKind];
  readonly key: string;
  /** Version that the row must have; `ABSENT` if it must not exist; default: no condition. */
  readonly ifVersion?: number;
  /** New value of the row, for a put. */
  readonly value?: unknown;
}

/** How a call to the table can fail. */
export const TableFailureKind = {
  /** A condition was not met; nothing was written. */
  CONFLICT: 'conflict',
  /** The call did not reach the table; nothing was written. */
  UNREACHED: 'unreached',
  /** There was no usable response; a write may have taken effect. */
  UNANSWERED: 'unanswered',
} as const;

/** A failed call to the table. */
export interface TableFailure {
  readonly kind: (typeof TableFailureKind)[keyof typeof TableFailureKind];
  readonly detail: string;
  /** On a conflict: the current rows whose conditions were not met. */
  readonly rows?: readonly Row[];
}

/** Result of a transaction: the new versions of the rows put, by key. */
export interface Commit {
  readonly versions: Readonly<Record<string, number>>;
}

/** Interface of the platform's transactional table service. */
export interface TableService {
  /**
   * Returns the number of times that the table was restored from a copy, as far as its
   * answers have told; `undefined` before the first answer. What was written since the
   * copy is lost then; see `createVersion`.
   */
  getEra(): number | undefined;
  /** Reads one row; `undefined` if it does not exist. */
  get(key: string): Promise<Result<Row | undefined, TableFailure>>;
  /** Reads all rows whose key starts with the prefix, in key order. */
  list(prefix: string): Promise<Result<readonly Row[], TableFailure>>;
  /** Executes all steps atomically if all their conditions are met. */
  transact(steps: readonly Step[]): Promise<Result<Commit, TableFailure>>;
}
