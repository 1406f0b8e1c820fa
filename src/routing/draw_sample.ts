import {Random} from '../random/index.js';

/** Up to this many servers are all looked at; of more, a sample. */
export const LOOK_AT_ALL = 16;
/**
 * Servers drawn of more: the best of eight is close to the best of all, and hosts
 * that all see the same late word do not all choose the same one.
 */
const DRAWN = 8;
/** Servers that hold most of the prompt, looked at besides. */
const HOLDERS = 2;

/**
 * Draws servers to look at for a request: the best holders of its prompt, and some
 * by chance.
 * @param servers - Those that may get it.
 * @param countCached - Counts the prompt's tokens that a server has cached.
 * @param random - Decides by chance.
 */
export function drawSample<Server>(
  servers: readonly Server[],
  countCached: (server: Server) => number,
  random: Random,
): Set<Server> {
  const sample = new Set(listHolders(servers, countCached));
  for (let draw = 0; draw < DRAWN; draw++) {
    const drawn = servers[Math.floor(random.next() * servers.length)];
    if (drawn !== undefined) {
      sample.add(drawn);
    }
  }
  return sample;
}

function listHolders<Server>(
  servers: readonly Server[],
  countCached: (server: Server) => number,
): Server[] {
  const holders: {server: Server; cached: number}[] = [];
  for (const server of servers) {
    const cached = countCached(server);
    if (cached > 0) {
      holders.push({server, cached});
    }
  }
  holders.sort((a, b) => b.cached - a.cached);
  return holders.slice(0, HOLDERS).map(({server}) => server);
}
