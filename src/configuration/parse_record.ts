import {Result} from 'true-myth';
import {z} from 'zod';
import {
  lowerCustomer,
  lowerDeployment,
  raiseCustomer,
  raiseDeployment,
} from './convert_record.js';
import {customerSchemaV1, customerSchemaV2} from './customer_schema.js';
import {deploymentSchemaV1, deploymentSchemaV2} from './deployment_schema.js';
import {serverSchema} from './server_schema.js';
import {RecordDocument, RecordKind} from './stored_record.js';

/** Schema versions that this release reads and writes. */
export const SCHEMA_VERSIONS = [1, 2] as const;

/** Schema version that this release works with inside. */
export const CURRENT_SCHEMA_VERSION = 2;

const headSchema = z.looseObject({
  schemaVersion: z.number().int(),
  kind: z.enum(Object.values(RecordKind)),
});

/**
 * Checks a record of any known version and raises it to the current one.
 * @param document - What an operator or the table gave.
 * @returns The current document with defaults filled in, or every mistake.
 */
export function parseRecord(
  document: unknown,
): Result<RecordDocument, string[]> {
  const head = headSchema.safeParse(document);
  if (!head.success) {
    return Result.err(listMistakes(head.error));
  }
  const {schemaVersion, kind} = head.data;
  if (!SCHEMA_VERSIONS.some(known => known === schemaVersion)) {
    return Result.err([
      `schemaVersion: ${schemaVersion} is not known here; use ${SCHEMA_VERSIONS.join(' or ')}`,
    ]);
  }
  return kind === RecordKind.DEPLOYMENT
    ? parseDeployment(document, schemaVersion)
    : kind === RecordKind.CUSTOMER
      ? parseCustomer(document, schemaVersion)
      : parseWith(serverSchema, document);
}

/**
 * Shows a record in a wanted schema version.
 * @param document - A valid document of any known version.
 * @param schemaVersion - 1 or 2.
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
    return Result.ok(lowerDeployment(parsed) as RecordDocument);
  }
  if (document.kind === RecordKind.CUSTOMER) {
    const parsed = customerSchemaV2.parse(current.value);
    return Result.ok(lowerCustomer(parsed) as RecordDocument);
  }
  return Result.ok({...current.value, schemaVersion});
}

function parseDeployment(
  document: unknown,
  version: number,
): Result<RecordDocument, string[]> {
  if (version === CURRENT_SCHEMA_VERSION) {
    return parseWith(deploymentSchemaV2, document);
  }
  const old = deploymentSchemaV1.safeParse(document);
  if (!old.success) {
    return Result.err(listMistakes(old.error));
  }
  if ((old.data.model === undefined) === (old.data.service === undefined)) {
    return Result.err(['model, service: give exactly one of them']);
  }
  return parseWith(deploymentSchemaV2, raiseDeployment(old.data));
}

function parseCustomer(
  document: unknown,
  version: number,
): Result<RecordDocument, string[]> {
  if (version === CURRENT_SCHEMA_VERSION) {
    return parseWith(customerSchemaV2, document);
  }
  const old = customerSchemaV1.safeParse(document);
  return old.success
    ? parseWith(customerSchemaV2, raiseCustomer(old.data))
    : Result.err(listMistakes(old.error));
}

function parseWith(
  schema: z.ZodType,
  document: unknown,
): Result<RecordDocument, string[]> {
  const parsed = schema.safeParse(document);
  return parsed.success
    ? Result.ok(parsed.data as RecordDocument)
    : Result.err(listMistakes(parsed.error));
}

function listMistakes(error: z.ZodError): string[] {
  return error.issues.map(issue => {
    const path = issue.path.map(String).join('.') || 'record';
    return `${path}: ${issue.message}`;
  });
}
