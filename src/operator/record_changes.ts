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
import {Problem, problems, Ran} from '../errors/index.js';
import {Log} from '../log/index.js';
import {InForce, InForceReport} from './in_force.js';

/** What changes work with. */
export interface RecordChangesOptions {
  readonly log: Log;
  readonly store: ConfigurationStore;
  readonly table: ConfigurationTable;
  readonly inForce: InForce;
  /** Brings the new revision to this host at once. */
  readonly refresh: () => Promise<void>;
  /** Longest wait for the table, in milliseconds. */
  readonly patienceMs: number;
  /** Longest wait for the change to be in force everywhere, in ms. */
  readonly inForceMs: number;
}

/** A change that was written, and where it is in force. */
export interface RecordChange {
  readonly record: StoredRecord;
  readonly report: InForceReport;
}

/** A change as an operator asks for it. */
export interface ChangeOrder {
  readonly kind: RecordKind;
  readonly name: string;
  /** New document; null to delete. */
  readonly document: unknown;
  /** Revision it was made on; 0 for a new record. */
  readonly madeOn: number;
  /** Whether to skip the check that every name in it is known. */
  readonly force: boolean;
}

/** Writes operators' changes and waits until they are in force. */
export class RecordChanges {
  constructor(private readonly options: RecordChangesOptions) {}

  /**
   * Writes a change.
   * @param order - The change.
   * @returns The record with its revision, and where it is in force.
   */
  async apply(order: ChangeOrder): Promise<Result<RecordChange, Problem>> {
    const checked = this.check(order);
    if (checked.isErr) {
      return Result.err(checked.error);
    }
    const changeId = randomUUID();
    const {kind, name, madeOn} = order;
    const written = await this.options.table.write(
      {kind, name, document: checked.value, madeOn, changeId},
      this.options.patienceMs,
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
   * Checks a document without writing it.
   * @param document - The document.
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

  private check(order: ChangeOrder): Result<RecordDocument | null, Problem> {
    if (order.document === null) {
      return Result.ok(null);
    }
    const parsed = parseRecord(order.document);
    if (parsed.isErr) {
      return Result.err(problems.recordInvalid(parsed.error));
    }
    const {kind, name} = parsed.value;
    if (kind !== order.kind || name !== order.name) {
      return Result.err(
        problems.recordInvalid([
          `kind, name: the path names ${order.kind} "${order.name}", the record ${kind} "${name}"`,
        ]),
      );
    }
    const mistakes = order.force
      ? []
      : findUnknownReferences(parsed.value, this.options.store.getView());
    // What the operator wrote is stored, in its own schema version.
    return mistakes.length > 0
      ? Result.err(problems.recordInvalid(mistakes))
      : Result.ok(order.document as RecordDocument);
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
    ? problems.storeUnavailable(Ran.NO)
    : problems.storeUnavailable(Ran.UNKNOWN);
}
