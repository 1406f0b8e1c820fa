/** Kinds of configuration record. */
export const RecordKind = {
  DEPLOYMENT: 'deployment',
  CUSTOMER: 'customer',
  SERVER: 'server',
} as const;
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

/** Members that every version of every record has. */
export interface RecordDocument {
  readonly schemaVersion: number;
  readonly kind: RecordKind;
  readonly name: string;
  readonly [member: string]: unknown;
}

/** A record as the table keeps it, with the revision that last changed it. */
export interface StoredRecord {
  readonly kind: RecordKind;
  readonly name: string;
  readonly revision: number;
  /** As written, in the schema version it was written in; null once deleted. */
  readonly document: RecordDocument | null;
  /** Identifies the change, so that its author can find it after a lost answer. */
  readonly changeId: string;
}

/** Every record that changed after one revision, up to another. */
export interface ConfigurationDelta {
  /** Records changed after this revision are included. */
  readonly after: number;
  /** Revision reached by applying the delta. */
  readonly revision: number;
  readonly records: readonly StoredRecord[];
}

/** Key of a record among all records. */
export function getRecordKey(kind: RecordKind, name: string): string {
  return `${kind}/${name}`;
}
