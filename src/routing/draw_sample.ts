import {Random} from '../random/index.js';

/** Up to this many servers are all considered; of more, only a sample. */
export const MAX_UNSAMPLED_SERVERS = 16;
/**
 * Number of random draws when there are more servers. The best of eight is
 * close to the best of all, and hosts that all see the same delayed load
 * reports do not all choose the same server.
 */
const RANDOM_DRAWS = 8;
/**
 * Servers with most of the prompt cached that are added to the random draws.
 */
const MAX_PREFIX_HOLDERS = 2;

/**
 * Draws the servers to consider for a request: those that have most of its
 * prompt cached, and some random ones.
 * @param servers - Servers that may get the request.
 * @param countCached - Counts the prompt's tokens that a server has cached.
 * @param random - Source of the random draws.
 */
export function drawSample<Server>(
  servers: readonly Server[],
  countCached: (server: Server) => number,
  random: Random,
): Set<Server> {
  const sample = new Set(listPrefixHolders(servers, countCached));
  for (let draw = 0; draw < RANDOM_DRAWS; draw++) {
    const drawn = servers[Math.floor(random.next() * servers.length)];
    if (drawn !== undefined) {
      sample.add(drawn);
    }
  }
  return sample;
}

function listPrefixHolders<Server>(
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
  return holders.slice(0, MAX_PREFIX_HOLDERS).map(({server}) => server);
}
