/** Kinds of configuration record. */
export const RecordKind = {
  DEPLOYMENT: 'deployment',
  CUSTOMER: 'customer',
  SERVER: 'server',
} as const;
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

/** A record document; each kind and schema version has at least these members. */
export interface RecordDocument {
  readonly schemaVersion: number;
  readonly kind: RecordKind;
  readonly name: string;
  readonly [member: string]: unknown;
}

/** A record as stored in the table, with the revision that last changed it. */
export interface StoredRecord {
  readonly kind: RecordKind;
  readonly name: string;
  readonly revision: number;
  /** The document in the schema version that it was written in; null once deleted. */
  readonly document: RecordDocument | null;
  /** Id of the change, by which its author can find it if the response was lost. */
  readonly changeId: string;
}

/** The records that changed after one revision, up to another. */
export interface ConfigurationDelta {
  /** The delta holds all records that changed after this revision. */
  readonly after: number;
  /** Revision that the delta leads to. */
  readonly revision: number;
  readonly records: readonly StoredRecord[];
}

/** Returns the key of a record, unique among all kinds. */
export function getRecordKey(kind: RecordKind, name: string): string {
  return `${kind}/${name}`;
}
