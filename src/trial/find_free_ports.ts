import {createServer, Server} from 'node:net';

/** Range of ports, from the first up to the last. */
export interface PortRange {
  readonly first: number;
  readonly last: number;
}

/**
 * Range of the ports that are tried. It lies below the ephemeral ports of operating systems, so
 * that no outgoing connection takes a port after it was found free and before it is bound.
 */
const DEFAULT_RANGE: PortRange = {first: 12_000, last: 30_000};
const LOOPBACK = '127.0.0.1';
/**
 * Second loopback address, on which a process listens at each port that it has found free:
 * another process that finds the same port free cannot, and draws again. Systems other than
 * Linux may not have the address; ports are found without this protection there.
 */
const RESERVATION_ADDRESS = '127.0.0.2';

/** Ports already tried in this process; those returned may not be bound yet. */
const triedPorts = new Set<number>();

/**
 * Picks random free loopback ports. No port is returned twice, to this process or to
 * another one that still runs.
 * @param count - Number of ports.
 * @param range - Ports to choose from.
 */
export async function findFreePorts(
  count: number,
  {first, last}: PortRange = DEFAULT_RANGE,
): Promise<number[]> {
  const found = new Set<number>();
  while (found.size < count) {
    const port = first + Math.floor(Math.random() * (last - first + 1));
    if (triedPorts.has(port)) {
      continue;
    }
    triedPorts.add(port);
    if (await reserve(port)) {
      found.add(port);
    }
  }
  return [...found];
}

/** Reserves a port until this process ends; returns whether it is free. */
async function reserve(port: number): Promise<boolean> {
  const reservation = await listen(port, RESERVATION_ADDRESS);
  if (reservation === 'EADDRINUSE') {
    return false;
  }
  const probe = await listen(port, LOOPBACK);
  if (typeof probe === 'string') {
    if (typeof reservation !== 'string') {
      reservation.close();
    }
    return false;
  }
  await new Promise(resolve => probe.close(resolve));
  return true;
}

/** Listens at a port; returns the error code if that fails. */
function listen(port: number, address: string): Promise<Server | string> {
  return new Promise(resolve => {
    // A connection to this server is meant for another one on this port.
    const server = createServer(socket => socket.destroy());
    server.unref();
    server.once('error', ({code = 'unknown'}: NodeJS.ErrnoException) =>
      resolve(code),
    );
    server.listen(port, address, () => resolve(server));
  });
}
