import {LogMembers, LogValue} from './log.js';

const PLAIN = /^[\w.:/@+,*%-]+$/;

/**
 * Formats an event as key=value pairs; values with spaces are quoted.
 * @param members - Pairs in print order; undefined values are left out.
 */
export function formatLine(members: LogMembers): string {
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
