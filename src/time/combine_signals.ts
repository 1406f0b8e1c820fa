/**
 * Returns a signal that is aborted as soon as one of the given signals is.
 *
 * Use it only with short-lived signals: each of them keeps a reference to the
 * returned one. `AbortSignal.any` avoids that, but costs CPU time on each request.
 * @param signals - Signals to combine.
 */
export function combineSignals(signals: readonly AbortSignal[]): AbortSignal {
  const combined = new AbortController();
  for (const signal of signals) {
    if (signal.aborted) {
      combined.abort(signal.reason);
      return combined.signal;
    }
    const abort = () => combined.abort(signal.reason);
    signal.addEventListener('abort', abort, {once: true});
  }
  return combined.signal;
}
