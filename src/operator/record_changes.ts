import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {
  ChangeFailure,
  ChangeFailureKind,
  ConfigurationStore,
  ConfigurationTable,
  findUnknownReferences,
  parseRecord,
  RecordDocument,
  RecordKind,
  StoredRecord,
} from '../configuration/index.js';
import {Problem, problems, ExecutionStatus} from '../errors/index.js';
import {Log} from '../log/index.js';
import {InForceMonitor, InForceReport} from './in_force_monitor.js';

/** Dependencies and settings of record changes. */
export interface RecordChangesOptions {
  readonly log: Log;
  readonly store: ConfigurationStore;
  readonly table: ConfigurationTable;
  readonly inForce: InForceMonitor;
  /** Reads the new revision from the table without waiting for the next poll. */
  readonly refresh: () => Promise<void>;
  /** Longest time to retry a write to the table, in milliseconds. */
  readonly tableTimeoutMs: number;
  /** Longest wait until a change is in force in every data centre, in ms. */
  readonly inForceMs: number;
}

/** A change that has been written, and where it is in force. */
export interface RecordChange {
  readonly record: StoredRecord;
  readonly report: InForceReport;
}

/** A change that an operator requests. */
export interface ChangeRequest {
  readonly kind: RecordKind;
  readonly name: string;
  /** New document; null to delete. */
  readonly document: unknown;
  /** Revision of the record that the change is based on; 0 for a new record. */
  readonly madeOn: number;
  /** Whether to skip the check for references to unknown records. */
  readonly force: boolean;
}

/** Writes changes of configuration records and waits until they are in force. */
export class RecordChanges {
  constructor(private readonly options: RecordChangesOptions) {}

  /**
   * Validates and writes a change, then waits until it is in force in every data
   * centre, up to `inForceMs`.
   * @param request - The change.
   * @returns The record with its new revision, and where it is in force.
   */
  async apply(request: ChangeRequest): Promise<Result<RecordChange, Problem>> {
    const checked = this.check(request);
    if (checked.isErr) {
      return Result.err(checked.error);
    }
    const changeId = randomUUID();
    const {kind, name, madeOn} = request;
    const written = await this.options.table.write(
      {kind, name, document: checked.value, madeOn, changeId},
      this.options.tableTimeoutMs,
    );
    if (written.isErr) {
      return Result.err(toProblem(name, written.error));
    }
    const {revision} = written.value;
    this.options.log.info('configuration_accepted', {
      kind,
      name,
      revision,
      made_on: madeOn,
    });
    await this.options.refresh();
    const {inForce, inForceMs} = this.options;
    const report = await inForce.wait(revision, inForceMs);
    return Result.ok({record: written.value, report});
  }

  /**
   * Validates a document without writing it.
   * @param document - The document.
   * @returns The parsed record, or the problem with all mistakes.
   */
  validate(document: unknown): Result<RecordDocument, Problem> {
    const parsed = parseRecord(document);
    if (parsed.isErr) {
      return Result.err(problems.recordInvalid(parsed.error));
    }
    const view = this.options.store.getView();
    const mistakes = findUnknownReferences(parsed.value, view);
    return mistakes.length > 0
      ? Result.err(problems.recordInvalid(mistakes))
      : Result.ok(parsed.value);
  }

  private check(
    request: ChangeRequest,
  ): Result<RecordDocument | null, Problem> {
    if (request.document === null) {
      return Result.ok(null);
    }
    const parsed = parseRecord(request.document);
    if (parsed.isErr) {
      return Result.err(problems.recordInvalid(parsed.error));
    }
    const {kind, name} = parsed.value;
    if (kind !== request.kind || name !== request.name) {
      return Result.err(
        problems.recordInvalid([
          `kind, name: the path names ${request.kind} "${request.name}", but the record is ${kind} "${name}"`,
        ]),
      );
    }
    const mistakes = request.force
      ? []
      : findUnknownReferences(parsed.value, this.options.store.getView());
    // The document is stored as the operator wrote it, in its own schema version.
    return mistakes.length > 0
      ? Result.err(problems.recordInvalid(mistakes))
      : Result.ok(request.document as RecordDocument);
  }
}

function toProblem(name: string, failure: ChangeFailure): Problem {
  if (failure.kind === ChangeFailureKind.CONFLICT) {
    const {winner} = failure;
    return problems.configurationConflict(
      name,
      winner?.revision ?? 0,
      winner?.document ?? null,
    );
  }
  return failure.kind === ChangeFailureKind.UNREACHED
    ? problems.storeUnavailable(ExecutionStatus.NOT_EXECUTED)
    : problems.storeUnavailable(ExecutionStatus.UNKNOWN);
}
