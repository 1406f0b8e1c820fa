/**
 * Waits for a promise, or until a signal is aborted. Nothing of the waiting function is kept alive
 * by the promise after that: requests of closed connections would hold their memory until then.
 * @param promise - What is waited for.
 * @param signal - Ends the wait.
 */
export function waitUnlessAborted(
  promise: Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const waiting: {resolve?: () => void} = {resolve};
    const end = () => {
      waiting.resolve?.();
      delete waiting.resolve;
    };
    signal.addEventListener('abort', end, {once: true});
    void promise.then(end);
  });
}
