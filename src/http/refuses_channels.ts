import {connect} from 'node:net';

/**
 * Longest look, in milliseconds: the answer takes one way there and back, and the next
 * attempt at what was lost waits for it.
 */
const LOOK_MS = 100;
const REFUSED = 'ECONNREFUSED';

/**
 * Looks whether nothing listens at an address. One that cannot be reached, or is slow
 * to answer, does not refuse.
 * @param address - IP number and port.
 */
export function refusesChannels(address: string): Promise<boolean> {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return new Promise(resolve => {
    const socket = connect({host, port});
    const timer = setTimeout(() => settle(false), LOOK_MS);
    const settle = (refuses: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(refuses);
    };
    socket.once('connect', () => settle(false));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === REFUSED),
    );
  });
}
