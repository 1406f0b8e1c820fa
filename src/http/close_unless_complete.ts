import {IncomingMessage} from 'node:http';

/**
 * Time for which the rest of a refused request is read before its connection is closed, in
 * milliseconds. Closed with unread bytes, it is reset, and the answer may be lost.
 */
const LINGER_MS = 1000;

/** Closes the connection of a request that was answered before its end, unless the end comes. */
export function closeUnlessComplete(request: IncomingMessage): void {
  if (request.complete) {
    return;
  }
  request.resume();
  const timer = setTimeout(() => request.socket.destroy(), LINGER_MS);
  request.once('close', () => clearTimeout(timer));
}
