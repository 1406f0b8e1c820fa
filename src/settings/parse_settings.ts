import {parse, TomlError} from 'smol-toml';
import {Result} from 'true-myth';
import {z} from 'zod';
import {
  Settings,
  SETTING_DESCRIPTIONS,
  settingsSchema,
} from './settings_schema.js';

/**
 * Parses and validates a settings file.
 * @param text - Content of the file, in TOML.
 * @returns The settings with defaults filled in, or all errors: one line each,
 *   with the line number, the key, the allowed values and what to do.
 */
export function parseSettings(text: string): Result<Settings, string[]> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    return Result.err([describeSyntaxError(error)]);
  }
  const parsed = settingsSchema.safeParse(document);
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(
        parsed.error.issues.flatMap(issue => describeIssue(text, issue)),
      );
}

function describeSyntaxError(error: unknown): string {
  if (error instanceof TomlError) {
    const first = error.message.split('\n')[0] ?? '';
    return `line ${error.line}: ${first}; correct the TOML there`;
  }
  return String(error);
}

function describeIssue(text: string, issue: z.core.$ZodIssue): string[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => {
      const full = [...path, key].join('.');
      return `${formatLocation(text, [...path, key])}${full}: no such setting; remove it or see docs/SETTINGS.md`;
    });
  }
  const key = path.filter(part => !/^\d+$/.test(part)).join('.');
  const known = SETTING_DESCRIPTIONS.find(setting => setting.key === key);
  const allowed =
    known === undefined ? 'add this table' : `give ${known.allowed}`;
  return [`${formatLocation(text, path)}${key}: ${issue.message}; ${allowed}`];
}

/**
 * Returns the line of a key as the prefix "line N: ", or "" if it is not found.
 * Scans the text line by line for table headers and keys, without parsing TOML.
 */
function formatLocation(text: string, path: readonly string[]): string {
  const [table = '', key = ''] = path;
  let current = '';
  for (const [index, line] of text.split('\n').entries()) {
    const header = /^\s*\[([^\]]+)\]/.exec(line);
    if (header !== null) {
      current = header[1]?.trim() ?? '';
      if (key === '' && current === table) {
        return `line ${index + 1}: `;
      }
      continue;
    }
    const name = /^\s*([\w-]+)\s*=/.exec(line)?.[1];
    if (current === table && name === key) {
      return `line ${index + 1}: `;
    }
  }
  return '';
}
