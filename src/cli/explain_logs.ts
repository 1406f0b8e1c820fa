import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {
  ClassifiedRequest,
  classifyRequest,
  countLosses,
  LossGroup,
  parseLogLine,
  RequestHistories,
} from '../explain/index.js';
import {CommandFailure, ExitCode} from './exit_code.js';
import {formatTable} from './format_table.js';

/** Selects the requests to explain, and their grouping. */
export interface ExplainOptions {
  /** Id of the request to explain; if omitted, losses are counted. */
  readonly request?: string;
  /** Grouping of the losses; a value of `LossGroup`. */
  readonly by: string;
  /** Start and end of the period, inclusive, as date and time (ISO 8601). */
  readonly from?: string;
  readonly to?: string;
  /** Length of a time window for `LossGroup.WINDOW`, in seconds. */
  readonly windowSeconds: number;
}

const MS_PER_SECOND = 1000;
const COLUMNS = [
  'group',
  'asked',
  'served',
  'late',
  'refused',
  'failed',
  'unfinished',
] as const;

/**
 * Explains one request, or counts the losses of a period, from log files.
 * @param files - Paths of log files of any hosts.
 * @param options - Selects the requests and their grouping.
 * @returns Text to print.
 * @throws CommandFailure - If a file cannot be read, no file contains the request, or a
 *   time or grouping is invalid.
 */
export async function explainLogs(
  files: readonly string[],
  options: ExplainOptions,
): Promise<string> {
  if (files.length === 0) {
    throw new CommandFailure(
      ExitCode.USAGE,
      'no log file given; give at least one',
    );
  }
  const histories = new RequestHistories();
  for (const file of files) {
    await readFile(file, histories);
  }
  if (options.request !== undefined) {
    return explainRequest(histories, String(options.request));
  }
  return explainLosses(histories, options);
}

async function readFile(
  file: string,
  histories: RequestHistories,
): Promise<void> {
  const input = createReadStream(file);
  try {
    for await (const text of createInterface({input, crlfDelay: Infinity})) {
      const line = parseLogLine(text);
      if (line !== undefined) {
        histories.add(line);
      }
    }
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new CommandFailure(
      ExitCode.USAGE,
      `${file} cannot be read: ${detail}; give log files of hosts`,
    );
  }
}

function explainRequest(histories: RequestHistories, id: string): string {
  const found = histories.list(id);
  if (found.length === 0) {
    throw new CommandFailure(
      ExitCode.USAGE,
      `request ${id} is not in these log files; add those of other hosts`,
    );
  }
  const paragraphs = found.map(history => {
    const {outcome, cause, host, version} = classifyRequest(history);
    const reason = cause === '' ? '' : `: ${cause}`;
    const head = `${host}: ${outcome}${reason} (version ${version})`;
    return [head, ...history.lines.map(({text}) => `  ${text}`)].join('\n');
  });
  return paragraphs.join('\n');
}

function explainLosses(
  histories: RequestHistories,
  options: ExplainOptions,
): string {
  const fromMs = readTime(options.from, -Infinity);
  const toMs = readTime(options.to, Infinity);
  const getGroup = createGrouping(histories, options);
  const requests = histories
    .list()
    .map(classifyRequest)
    .filter(({atMs}) => atMs >= fromMs && atMs <= toMs);
  const rows = countLosses(requests, getGroup).map(count => ({...count}));
  if (options.by === LossGroup.WINDOW) {
    rows.sort((a, b) => a.group.localeCompare(b.group));
  }
  return formatTable(rows, COLUMNS);
}

function readTime(text: string | undefined, fallbackMs: number): number {
  const ms = text === undefined ? fallbackMs : Date.parse(text);
  if (Number.isNaN(ms)) {
    throw new CommandFailure(
      ExitCode.USAGE,
      `"${text}" is not a valid time; write it as 2030-01-31T12:00:00Z`,
    );
  }
  return ms;
}

function createGrouping(
  histories: RequestHistories,
  {by, windowSeconds}: ExplainOptions,
): (request: ClassifiedRequest) => string {
  const windowMs = windowSeconds * MS_PER_SECOND;
  switch (by) {
    case LossGroup.CAUSE:
      return ({outcome, cause}) => `${outcome} ${cause}`.trim();
    case LossGroup.ROUTE:
      return ({route}) => route;
    case LossGroup.CUSTOMER:
      return ({customer}) => customer;
    case LossGroup.VERSION:
      return ({version}) => version;
    case LossGroup.DATA_CENTRE:
      return ({host}) => histories.getDataCentre(host);
    case LossGroup.WINDOW:
      return ({atMs}) =>
        new Date(Math.floor(atMs / windowMs) * windowMs).toISOString();
    default:
      throw new CommandFailure(
        ExitCode.USAGE,
        `--by ${by} is not known; use ${Object.values(LossGroup).join(', ')}`,
      );
  }
}
