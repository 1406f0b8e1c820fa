import {Problem, problems} from '../errors/index.js';
import {Random} from '../random/index.js';

/** Longest predicted wait, as a share of the first-token target. */
const MAX_WAIT_SHARE = 1;
/** Minimum retry time. */
const MIN_RETRY_MS = 100;
const MS_PER_SECOND = 1000;

/**
 * Decides whether to send a stream to a server that queues requests itself.
 *
 * This prevents a collapse under overload, when more prompts arrive than
 * servers can compute. If all were sent, they would all wait, callers would
 * abandon most of them after partial computation, and the remaining answers
 * would be late. With the excess refused at once, the streams that are sent
 * start in time. The wait includes only work of the same urgency or more urgent
 * work. The length of the request's own prompt does not matter, so that large
 * prompts are not starved.
 * @param waitMs - Predicted wait until the best server starts with the prompt,
 *   in milliseconds.
 * @param targetMs - Target for the time to the first token, in milliseconds.
 * @param random - Randomises the retry time.
 * @returns Why it is refused, or `undefined` to send it.
 */
export function decideByWait(
  waitMs: number,
  targetMs: number,
  random: Random,
): Problem | undefined {
  const limitMs = targetMs * MAX_WAIT_SHARE;
  if (waitMs <= limitMs) {
    return undefined;
  }
  const excessMs = Math.max(MIN_RETRY_MS, waitMs - limitMs);
  const retryMs = excessMs * (1 + random.next());
  return problems.deadlineUnreachable(waitMs, retryMs / MS_PER_SECOND);
}
