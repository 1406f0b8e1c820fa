import {Repeat, Route} from '../../src/catalog/index.js';
import {Exchange} from '../../src/relay/index.js';
import {createAnswer, formatEvents} from './relay_fixture.js';

/** Events of a whole stream. */
export const EVENTS = 6;
/** Body of a whole stream. */
export const WHOLE = formatEvents(1, EVENTS).join('');
/** A route whose streams may be resumed at one more server. */
export const STREAM: Partial<Route> = {
  streaming: true,
  repeat: Repeat.RESUME,
  maxAttempts: 2,
};

/** How a server streams the events of one run. */
export interface PausedStream {
  /** Id of the event before which the server is silent. */
  readonly pauseBefore: number;
  /** Length of the silence, in milliseconds; infinite if it does not end. */
  readonly pauseMs: number;
  /** Id of the event before which the connection is reset; absent if the stream is whole. */
  readonly resetBefore?: number;
}

/** A stream without a pause. */
export const STEADY: PausedStream = {pauseBefore: 0, pauseMs: 0};

/**
 * Creates an exchange whose runs stream up to a number of events, each run in its own way. A run
 * that is aborted ends at once.
 * @param eventCount - Events of the whole stream.
 * @param runs - The runs, in the order in which they begin; the last one is used again.
 * @param onEnd - Called with the index of a run that was aborted.
 */
export function streamInTurn(
  eventCount: number,
  runs: readonly PausedStream[],
  onEnd: (run: number) => void = () => undefined,
): Exchange {
  let begun = 0;
  return async ({lastEventId, maySend}, signal) => {
    maySend();
    const index = begun++;
    const run = runs[Math.min(index, runs.length - 1)] ?? STEADY;
    signal.addEventListener('abort', () => onEnd(index));
    return createAnswer(
      200,
      stream(run, Number(lastEventId ?? 0) + 1, eventCount, signal),
    );
  };
}

async function* stream(
  {pauseBefore, pauseMs, resetBefore}: PausedStream,
  first: number,
  last: number,
  signal: AbortSignal,
): AsyncGenerator<string> {
  for (let id = first; id <= last; id++) {
    if (id === resetBefore) {
      throw new Error('reset');
    }
    await sleep(id === pauseBefore ? pauseMs : 0, signal);
    yield `id: ${id}\ndata: x\n\n`;
  }
}

/** Sleeps for a time; throws once the signal is aborted. */
function sleep(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    const abort = () => reject(new Error('aborted'));
    if (signal.aborted) {
      abort();
      return;
    }
    signal.addEventListener('abort', abort, {once: true});
    if (ms !== Infinity) {
      setTimeout(resolve, ms);
    }
  });
}
