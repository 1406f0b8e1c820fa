import {LogFields, LogValue} from './log.js';

const PLAIN = /^[\w.:/@+,*%-]+$/;

/**
 * Formats fields as key=value pairs. Values with spaces or special characters are
 * written as JSON strings.
 * @param members - Fields in print order; those with the value `undefined` are omitted.
 */
export function formatLine(members: LogFields): string {
  const pairs: string[] = [];
  for (const [key, value] of Object.entries(members)) {
    if (value === undefined) {
      continue;
    }
    pairs.push(`${key}=${formatValue(value)}`);
  }
  return pairs.join(' ');
}

function formatValue(value: LogValue): string {
  const text = String(value);
  return PLAIN.test(text) ? text : JSON.stringify(text);
}
