import {Reach, ServerFailure} from '../backend/index.js';
import {Clock} from '../time/index.js';

/**
 * Takes the next item of a stream, unless it is silent for too long.
 * @param items - The stream.
 * @param limitMs - Longest wait, in milliseconds.
 * @param clock - Measures the wait.
 * @param signal - Ends the wait as a failure.
 * @returns The item, or `undefined` at the end of the stream.
 * @throws ServerFailure - After too long a silence, or when aborted.
 */
export async function nextWithin<T>(
  items: AsyncIterable<T>,
  limitMs: number,
  clock: Clock,
  signal: AbortSignal,
): Promise<T | undefined> {
  const over = new AbortController();
  const either = AbortSignal.any([over.signal, signal]);
  const silence = clock.sleep(limitMs, either).then(() => 'silent' as const);
  const next = items[Symbol.asyncIterator]().next();
  // The loser of the race must not become an unhandled rejection.
  next.catch(() => undefined);
  try {
    const result = await Promise.race([next, silence]);
    if (result === 'silent') {
      throw new ServerFailure(
        Reach.SENT,
        signal.aborted ? 'stopped' : `silent for ${Math.round(limitMs)} ms`,
      );
    }
    return result.done === true ? undefined : result.value;
  } finally {
    over.abort();
  }
}
