import {problems, Ran} from '../errors/index.js';
import {WatchedContent, WatchOptions} from '../quarantine/index.js';
import {Generation} from './generation.js';

const MS_PER_SECOND = 1000;

/** Watches what servers end under a generation. */
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
 * Ends a generation that is kept away from servers: what a caller waits for with a
 * retry after each loss would end one server after the other until its deadline.
 * @param generation - The generation.
 * @param content - What it holds.
 * @param hasRun - Whether a server may have run it.
 * @param heldMs - Time for which it is kept away, in milliseconds.
 */
export function failHeld(
  generation: Generation,
  content: WatchedContent,
  hasRun: boolean,
  heldMs: number,
): void {
  const seconds = Math.ceil(heldMs / MS_PER_SECOND);
  const problem = problems.quarantined(content.getName(), seconds);
  generation.fail(hasRun ? {...problem, ran: Ran.UNKNOWN} : problem);
}
