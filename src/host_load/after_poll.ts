/**
 * Calls a function after the event loop has read what waited on its sockets when this was
 * called. The first turn of `setImmediate` may follow the reading that is in progress
 * without another one; the second one never does.
 */
export function afterPoll(call: () => void): void {
  setImmediate(() => setImmediate(call));
}
