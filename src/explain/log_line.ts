/** A parsed log line of a host. */
export interface LogLine {
  /** Time by the host's wall clock, in Unix milliseconds. */
  readonly atMs: number;
  readonly event: string;
  readonly members: ReadonlyMap<string, string>;
  /** The raw line, from its `time=` field on. */
  readonly text: string;
}

const TIME_KEY = 'time=';
const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Parses a line of key=value pairs. A prefix added by a log collector is ignored.
 * @param text - One line.
 * @returns The line, or `undefined` if a host did not log it.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf(TIME_KEY);
  if (start < 0) {
    return undefined;
  }
  const line = text.slice(start).trimEnd();
  const members = new Map<string, string>();
  for (const [, key = '', value = ''] of line.matchAll(PAIR)) {
    members.set(key, unquote(value));
  }
  const atMs = Date.parse(members.get('time') ?? '');
  const event = members.get('event');
  if (Number.isNaN(atMs) || event === undefined) {
    return undefined;
  }
  return {atMs, event, members, text: line};
}

function unquote(value: string): string {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return String(JSON.parse(value));
  } catch {
    return value;
  }
}
