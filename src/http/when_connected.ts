import {ClientRequest} from 'node:http';
import {failOnThrow} from './fail_on_throw.js';
import {startTimeout} from './start_timeout.js';

/**
 * Invokes a callback once a request has an open connection, and destroys the request if it
 * gets none in time.
 * @param clientRequest - The request; nothing has been written yet.
 * @param timeoutMs - Connect timeout in milliseconds.
 * @param onConnected - Invoked once, when the connection is open, with whether it already
 *   was. If it throws, the request fails.
 */
export function whenConnected(
  clientRequest: ClientRequest,
  timeoutMs: number,
  onConnected: (isReused: boolean) => void,
): void {
  const connected = failOnThrow(clientRequest, onConnected);
  clientRequest.once('socket', socket => {
    if (!socket.connecting) {
      connected(true);
      return;
    }
    const cancelTimeout = startTimeout(timeoutMs, () =>
      clientRequest.destroy(new Error(`no connection within ${timeoutMs} ms`)),
    );
    socket.once('connect', () => {
      cancelTimeout();
      connected(false);
    });
    socket.once('close', cancelTimeout);
  });
}
