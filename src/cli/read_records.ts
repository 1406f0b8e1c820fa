import {readFile} from 'node:fs/promises';
import {parse} from 'smol-toml';
import {CommandFailure, ExitCode} from './exit_code.js';

/** A record as a file gives it. */
export interface FileRecord {
  readonly file: string;
  readonly document: Readonly<Record<string, unknown>>;
}

/**
 * Reads the records of a file: one or a list of them in JSON, one in TOML.
 * @param file - Path of the file; its ending tells the format.
 * @throws CommandFailure - When it cannot be read.
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
