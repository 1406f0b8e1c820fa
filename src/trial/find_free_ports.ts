import {createServer} from 'node:net';

/**
 * Range of the ports that are tried. It lies below the ephemeral ports of operating systems, so
 * that no outgoing connection takes a port after it was found free and before it is bound.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;

/** Ports already tried in this process; those returned may not be bound yet. */
const triedPorts = new Set<number>();

/** Picks random free loopback ports; never returns the same port twice per process. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found = new Set<number>();
  while (found.size < count) {
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (triedPorts.has(port)) {
      continue;
    }
    triedPorts.add(port);
    if (await isFree(port)) {
      found.add(port);
    }
  }
  return [...found];
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    // A connection to the probe is meant for another server on this port.
    const probe = createServer(socket => socket.destroy());
    probe.once('error', () => resolve(false));
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
  });
}
