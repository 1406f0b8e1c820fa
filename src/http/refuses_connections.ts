import {connect} from 'node:net';
import {OpenConnection} from './open_connection.js';
import {parseAddress} from './parse_address.js';
import {startTimeout} from './start_timeout.js';

/**
 * Timeout in milliseconds. The reply takes one network round trip, and the next attempt
 * of the lost request waits for it.
 */
const TIMEOUT_MS = 100;
const REFUSED_CODE = 'ECONNREFUSED';

/**
 * Checks whether an address refuses TCP connections because nothing listens there.
 * An address that is unreachable, or does not reply in time, does not count as refusing.
 * @param address - IP address and port.
 * @param openConnection - Opens the connection.
 */
export function refusesConnections(
  address: string,
  openConnection: OpenConnection = connect,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = openConnection(parseAddress(address));
    const cancelTimeout = startTimeout(TIMEOUT_MS, () => settle(false));
    const settle = (refuses: boolean) => {
      cancelTimeout();
      socket.destroy();
      resolve(refuses);
    };
    socket.once('connect', () => settle(false));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === REFUSED_CODE),
    );
  });
}
