/**
 * Makes a signal that is aborted with the first of several, for as long as these are
 * short-lived themselves: they hold on to it, where `AbortSignal.any` spends a request's
 * processor time on keeping them from it.
 * @param signals - What it ends with.
 */
export function endWithAny(signals: readonly AbortSignal[]): AbortSignal {
  const either = new AbortController();
  for (const signal of signals) {
    if (signal.aborted) {
      either.abort(signal.reason);
      return either.signal;
    }
    const end = () => either.abort(signal.reason);
    signal.addEventListener('abort', end, {once: true});
  }
  return either.signal;
}
