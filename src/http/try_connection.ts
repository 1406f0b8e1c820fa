import {connect} from 'node:net';
import {OpenConnection} from './open_connection.js';
import {parseAddress} from './parse_address.js';
import {startTimeout} from './start_timeout.js';

/** Outcome of an attempt to open a connection. */
export const ConnectionOutcome = {
  OPENED: 'opened',
  /** It was refused, could not be routed, or was closed as soon as it was open. */
  REFUSED: 'refused',
  /** Nothing answered in time. */
  NO_ANSWER: 'no-answer',
} as const;
export type ConnectionOutcome =
  (typeof ConnectionOutcome)[keyof typeof ConnectionOutcome];

/**
 * Time for which a connection must stay open to count, in milliseconds. A device on the way
 * may accept connections and reset them because it cannot pass them on.
 */
const STAY_OPEN_MS = 30;

/**
 * Opens a connection to an address and closes it.
 * @param address - IP address and port.
 * @param timeoutMs - Longest wait for an answer, in milliseconds.
 * @param openConnection - Opens the connection.
 */
export function tryConnection(
  address: string,
  timeoutMs: number,
  openConnection: OpenConnection = connect,
): Promise<ConnectionOutcome> {
  return new Promise(resolve => {
    const socket = openConnection(parseAddress(address));
    const settle = (outcome: ConnectionOutcome) => {
      cancelTimeout();
      socket.destroy();
      resolve(outcome);
    };
    let cancelTimeout = startTimeout(timeoutMs, () =>
      settle(ConnectionOutcome.NO_ANSWER),
    );
    socket.once('connect', () => {
      cancelTimeout();
      cancelTimeout = startTimeout(STAY_OPEN_MS, () =>
        settle(ConnectionOutcome.OPENED),
      );
    });
    // Without a reader, the end of the connection would not be noticed.
    socket.resume();
    socket.on('error', () => settle(ConnectionOutcome.REFUSED));
    socket.once('close', () => settle(ConnectionOutcome.REFUSED));
  });
}
