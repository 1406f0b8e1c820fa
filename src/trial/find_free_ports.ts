import {createServer} from 'node:net';

/**
 * Ports that are tried: below those that systems give to outgoing connections,
 * so that none of these takes a port between its finding and its use.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;

/** Ports already returned in this process; callers may not have bound them yet. */
const allocatedPorts = new Set<number>();

/** Picks random free loopback ports; never returns the same port twice per process. */
export async function findFreePorts(count: number): Promise<number[]> {
  const found = new Set<number>();
  while (found.size < count) {
    const span = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * span);
    if (allocatedPorts.has(port)) {
      continue;
    }
    allocatedPorts.add(port);
    if (await isFree(port)) {
      found.add(port);
    }
  }
  return [...found];
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    // Whoever connects to the probe meant somebody else.
    const probe = createServer(socket => socket.destroy());
    probe.once('error', () => resolve(false));
    probe.listen(port, '127.0.0.1', () => probe.close(() => resolve(true)));
  });
}
