/**
 * Calls a function after a time, once what has arrived by then is handled: after a pause of
 * this process, timers fire before answers that wait in the kernel are read.
 * @param ms - Timeout in milliseconds.
 * @param onTimeout - Called on the timeout.
 * @returns A function that cancels the timeout.
 */
export function startTimeout(ms: number, onTimeout: () => void): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(onTimeout);
  }, ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
