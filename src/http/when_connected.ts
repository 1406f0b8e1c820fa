import {ClientRequest} from 'node:http';

/**
 * Invokes a callback once a request has an open connection, and destroys the request if it
 * gets none in time.
 * @param clientRequest - The request; nothing has been written yet.
 * @param timeoutMs - Connect timeout in milliseconds.
 * @param onConnected - Invoked once, when the connection is open, with whether it already
 *   was.
 */
export function whenConnected(
  clientRequest: ClientRequest,
  timeoutMs: number,
  onConnected: (isReused: boolean) => void,
): void {
  clientRequest.once('socket', socket => {
    if (!socket.connecting) {
      onConnected(true);
      return;
    }
    const timer = setTimeout(
      () =>
        clientRequest.destroy(
          new Error(`no connection within ${timeoutMs} ms`),
        ),
      timeoutMs,
    );
    socket.once('connect', () => {
      clearTimeout(timer);
      onConnected(false);
    });
    socket.once('close', () => clearTimeout(timer));
  });
}
