import {Result} from 'true-myth';
import {z} from 'zod';
import {
  downgradeCustomer,
  downgradeDeployment,
  upgradeCustomer,
  upgradeDeployment,
} from './convert_record.js';
import {customerSchemaV1, customerSchemaV2} from './customer_schema.js';
import {deploymentSchemaV1, deploymentSchemaV2} from './deployment_schema.js';
import {serverSchema} from './server_schema.js';
import {RecordDocument, RecordKind} from './stored_record.js';

/** Schema versions that this release can read and write. */
export const SCHEMA_VERSIONS = [1, 2] as const;

/** Schema version that this release uses internally. */
export const CURRENT_SCHEMA_VERSION = 2;

const documentHeadSchema = z.looseObject({
  schemaVersion: z.number().int(),
  kind: z.enum(Object.values(RecordKind)),
});

/**
 * Validates a record of any supported schema version and converts it to the
 * current version.
 * @param document - The record, as received from an operator or the table.
 * @returns The document in the current version with defaults filled in, or one
 *   line per validation error.
 */
export function parseRecord(
  document: unknown,
): Result<RecordDocument, string[]> {
  const head = documentHeadSchema.safeParse(document);
  if (!head.success) {
    return Result.err(formatIssues(head.error));
  }
  const {schemaVersion, kind} = head.data;
  if (!SCHEMA_VERSIONS.some(supported => supported === schemaVersion)) {
    return Result.err([
      `schemaVersion: ${schemaVersion} is not supported; use ${SCHEMA_VERSIONS.join(' or ')}`,
    ]);
  }
  return kind === RecordKind.DEPLOYMENT
    ? parseDeployment(document, schemaVersion)
    : kind === RecordKind.CUSTOMER
      ? parseCustomer(document, schemaVersion)
      : parseCurrent(serverSchema, document);
}

/**
 * Converts a record to a schema version.
 * @param document - A valid document of any supported version.
 * @param schemaVersion - Target version, one of `SCHEMA_VERSIONS`.
 */
export function convertRecord(
  document: RecordDocument,
  schemaVersion: number,
): Result<RecordDocument, string[]> {
  const current = parseRecord(document);
  if (current.isErr || schemaVersion === CURRENT_SCHEMA_VERSION) {
    return current;
  }
  if (document.kind === RecordKind.DEPLOYMENT) {
    const parsed = deploymentSchemaV2.parse(current.value);
    return Result.ok(downgradeDeployment(parsed) as RecordDocument);
  }
  if (document.kind === RecordKind.CUSTOMER) {
    const parsed = customerSchemaV2.parse(current.value);
    return Result.ok(downgradeCustomer(parsed) as RecordDocument);
  }
  return Result.ok({...current.value, schemaVersion});
}

function parseDeployment(
  document: unknown,
  version: number,
): Result<RecordDocument, string[]> {
  if (version === CURRENT_SCHEMA_VERSION) {
    return parseCurrent(deploymentSchemaV2, document);
  }
  const previous = deploymentSchemaV1.safeParse(document);
  if (!previous.success) {
    return Result.err(formatIssues(previous.error));
  }
  if (
    (previous.data.model === undefined) ===
    (previous.data.service === undefined)
  ) {
    return Result.err(['model, service: give exactly one of them']);
  }
  return parseCurrent(deploymentSchemaV2, upgradeDeployment(previous.data));
}

function parseCustomer(
  document: unknown,
  version: number,
): Result<RecordDocument, string[]> {
  if (version === CURRENT_SCHEMA_VERSION) {
    return parseCurrent(customerSchemaV2, document);
  }
  const previous = customerSchemaV1.safeParse(document);
  return previous.success
    ? parseCurrent(customerSchemaV2, upgradeCustomer(previous.data))
    : Result.err(formatIssues(previous.error));
}

function parseCurrent(
  schema: z.ZodType,
  document: unknown,
): Result<RecordDocument, string[]> {
  const parsed = schema.safeParse(document);
  return parsed.success
    ? Result.ok(parsed.data as RecordDocument)
    : Result.err(formatIssues(parsed.error));
}

function formatIssues(error: z.ZodError): string[] {
  return error.issues.map(issue => {
    const path = issue.path.map(String).join('.') || 'record';
    return `${path}: ${issue.message}`;
  });
}
