import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {
  countLosses,
  judgeRequest,
  LossGroup,
  parseLogLine,
  RequestHistories,
  RequestVerdict,
} from '../explain/index.js';
import {CommandFailure, ExitCode} from './exit_code.js';
import {formatTable} from './format_table.js';

/** What is to be explained. */
export interface ExplainOptions {
  /** One request; all losses when left out. */
  readonly request?: string;
  /** What losses are grouped by: see `LossGroup`. */
  readonly by: string;
  /** First and last moment, as times with a date. */
  readonly from?: string;
  readonly to?: string;
  /** Length of a window, in seconds. */
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
 * Explains one request, or what was lost in a span of time, from log files.
 * @param files - Log files of any hosts.
 * @param options - What is to be explained.
 * @returns The text to show.
 * @throws CommandFailure - When a file, time or group cannot be used.
 */
export async function explainLogs(
  files: readonly string[],
  options: ExplainOptions,
): Promise<string> {
  if (files.length === 0) {
    throw new CommandFailure(ExitCode.USAGE, 'no log file; name one or more');
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
      `${file} cannot be read: ${detail}; name files that hosts logged to`,
    );
  }
}

function explainRequest(histories: RequestHistories, id: string): string {
  const found = histories.list(id);
  if (found.length === 0) {
    throw new CommandFailure(
      ExitCode.USAGE,
      `request ${id} is in none of these files; add the files of other hosts`,
    );
  }
  const paragraphs = found.map(history => {
    const {outcome, cause, host, version} = judgeRequest(history);
    const why = cause === '' ? '' : `: ${cause}`;
    const head = `${host}: ${outcome}${why} (version ${version})`;
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
  const verdicts = histories
    .list()
    .map(judgeRequest)
    .filter(({atMs}) => atMs >= fromMs && atMs <= toMs);
  const rows = countLosses(verdicts, getGroup).map(count => ({...count}));
  if (options.by === LossGroup.WINDOW) {
    rows.sort((a, b) => a.group.localeCompare(b.group));
  }
  return formatTable(rows, COLUMNS);
}

function readTime(text: string | undefined, otherwise: number): number {
  const ms = text === undefined ? otherwise : Date.parse(text);
  if (Number.isNaN(ms)) {
    throw new CommandFailure(
      ExitCode.USAGE,
      `${text} is no time; write it as 2030-01-31T12:00:00Z`,
    );
  }
  return ms;
}

function createGrouping(
  histories: RequestHistories,
  {by, windowSeconds}: ExplainOptions,
): (verdict: RequestVerdict) => string {
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
