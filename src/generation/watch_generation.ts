import {problems, ExecutionStatus} from '../errors/index.js';
import {WatchedContent, WatchOptions} from '../quarantine/index.js';
import {Generation} from './generation.js';

const MS_PER_SECOND = 1000;

/** Lets the quarantine track which servers terminate while running a generation. */
export function watchGeneration(
  options: WatchOptions,
  {request}: Generation,
): WatchedContent {
  return new WatchedContent(options, () => ({
    method: request.format,
    path: `${request.deployment}/${request.adapter}`,
    caller: request.customer,
    body: Buffer.from(JSON.stringify(request.body)),
  }));
}

/**
 * Fails a generation that the quarantine blocks. Retrying it after each lost server
 * would terminate one server after another until its deadline.
 * @param generation - The generation.
 * @param content - The watched content of its request.
 * @param hasRun - Whether a server may have run it.
 * @param blockedMs - Time for which it stays blocked, in milliseconds.
 */
export function failBlocked(
  generation: Generation,
  content: WatchedContent,
  hasRun: boolean,
  blockedMs: number,
): void {
  const seconds = Math.ceil(blockedMs / MS_PER_SECOND);
  const problem = problems.quarantined(content.getName(), seconds);
  generation.fail(
    hasRun ? {...problem, ran: ExecutionStatus.UNKNOWN} : problem,
  );
}
