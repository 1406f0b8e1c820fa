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

/** In-memory implementation of the table service, for the fake platform, simulations and tests. */
export class MemoryTableService implements TableService {
  private readonly rows = new Map<string, Row>();
  private lastVersion = ABSENT;

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
      this.lastVersion++;
      versions[step.key] = this.lastVersion;
      // Stores a copy, since a real table does not share objects with its clients.
      const value = structuredClone(step.value);
      this.rows.set(step.key, {
        key: step.key,
        version: this.lastVersion,
        value,
      });
    }
  }
}
