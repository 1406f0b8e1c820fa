import {Socket} from 'node:net';

/**
 * Waits for the end of a connection that also marks the end of its response. Resolves to
 * true if the server closed the connection, and to false if it was reset, in which case the
 * response may be incomplete.
 *
 * Node reports a reset that arrives with the last bytes as an ordinary end. To tell them
 * apart, a line break is written to the connection: this fails if the connection was reset,
 * and has no effect on a server that has closed it.
 */
export function waitForClose(socket: Socket): Promise<boolean> {
  return new Promise(resolve => {
    socket.once('error', () => resolve(false));
    socket.prependOnceListener('end', () => {
      socket.write('\r\n', error => resolve(!error));
    });
    socket.once('close', () => resolve(false));
  });
}
