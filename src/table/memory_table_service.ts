import {Result} from 'true-myth';
import {
  ABSENT,
  Commit,
  Row,
  Step,
  StepKind,
  TableFailure,
  TableFailureKind,
  TableService,
} from './table_service.js';
import {createVersion, getVersionNumber} from './table_version.js';

/** Content of a table at one time. */
export interface TableCopy {
  readonly rows: ReadonlyMap<string, Row>;
  readonly lastNumber: number;
}

/** In-memory implementation of the table service, for the fake platform, simulations and tests. */
export class MemoryTableService implements TableService {
  private rows = new Map<string, Row>();
  /** The last number given out as a version. */
  private lastNumber = 0;
  private era = 0;

  getEra(): number {
    return this.era;
  }

  /** Copies the content of the table. */
  takeCopy(): TableCopy {
    return {rows: new Map(this.rows), lastNumber: this.lastNumber};
  }

  /** Restores the table from a copy: what was written since is lost. */
  restore({rows, lastNumber}: TableCopy): void {
    this.era++;
    this.lastNumber = lastNumber;
    this.rows = new Map();
    for (const [key, row] of rows) {
      const version = createVersion(this.era, getVersionNumber(row.version));
      this.rows.set(key, {...row, version});
    }
  }

  async get(key: string): Promise<Result<Row | undefined, TableFailure>> {
    return Result.ok(this.rows.get(key));
  }

  async list(prefix: string): Promise<Result<readonly Row[], TableFailure>> {
    const found: Row[] = [];
    for (const row of this.rows.values()) {
      if (row.key.startsWith(prefix)) {
        found.push(row);
      }
    }
    found.sort((a, b) => (a.key < b.key ? -1 : 1));
    return Result.ok(found);
  }

  async transact(
    steps: readonly Step[],
  ): Promise<Result<Commit, TableFailure>> {
    const failed = steps.filter(step => !this.isConditionMet(step));
    if (failed.length > 0) {
      return Result.err({
        kind: TableFailureKind.CONFLICT,
        detail: 'a row does not have the expected version',
        rows: failed.flatMap(step => this.rows.get(step.key) ?? []),
      });
    }
    const versions: Record<string, number> = {};
    for (const step of steps) {
      this.execute(step, versions);
    }
    return Result.ok({versions});
  }

  private isConditionMet(step: Step): boolean {
    if (step.ifVersion === undefined) {
      return true;
    }
    const current = this.rows.get(step.key)?.version ?? ABSENT;
    return current === step.ifVersion;
  }

  private execute(step: Step, versions: Record<string, number>): void {
    if (step.kind === StepKind.DELETE) {
      this.rows.delete(step.key);
      return;
    }
    if (step.kind === StepKind.PUT) {
      const version = createVersion(this.era, ++this.lastNumber);
      versions[step.key] = version;
      // Stores a copy, since a real table does not share objects with its clients.
      const value = structuredClone(step.value);
      this.rows.set(step.key, {
        key: step.key,
        version,
        value,
      });
    }
  }
}
