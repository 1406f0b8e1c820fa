import {readFile} from 'node:fs/promises';
import {parse} from 'smol-toml';
import {CommandFailure, ExitCode} from './exit_code.js';

/** A record read from a file; not validated. */
export interface FileRecord {
  readonly file: string;
  readonly document: Readonly<Record<string, unknown>>;
}

/**
 * Reads the records of a file: a record or an array of them in JSON, or one in TOML.
 * @param file - Path of the file; TOML if it ends in `.toml`, else JSON.
 * @throws CommandFailure - If the file cannot be read or parsed, or a record is not an
 *   object.
 */
export async function readRecords(file: string): Promise<FileRecord[]> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch {
    throw new CommandFailure(
      ExitCode.USAGE,
      `${file}: cannot be read; check the path`,
    );
  }
  const parsed = parseText(file, text);
  const documents = Array.isArray(parsed) ? (parsed as unknown[]) : [parsed];
  return documents.map(document => {
    if (typeof document !== 'object' || document === null) {
      throw new CommandFailure(
        ExitCode.INVALID,
        `${file}: a record must be an object with schemaVersion, kind and name`,
      );
    }
    return {file, document: document as Readonly<Record<string, unknown>>};
  });
}

function parseText(file: string, text: string): unknown {
  try {
    return file.endsWith('.toml') ? parse(text) : JSON.parse(text);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new CommandFailure(
      ExitCode.INVALID,
      `${file}: cannot be parsed (${detail.split('\n')[0]}); give JSON, or TOML in a file that ends in .toml`,
    );
  }
}
