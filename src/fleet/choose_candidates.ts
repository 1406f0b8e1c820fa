import {Random} from '../random/index.js';
import {drawSample, MAX_UNSAMPLED_SERVERS} from '../routing/index.js';
import {TrackedServer} from './tracked_server.js';

/** Properties of a request on which the choice of candidates depends. */
export interface CandidateQuery {
  /** Servers that must not get the request again. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Server that all hosts prefer for the prompt; see `choosePreferredServer`.
   */
  readonly preferredServer: string | undefined;
  /** Counts the prompt's tokens that a server is assumed to have cached. */
  readonly countCached: (server: TrackedServer) => number;
  /**
   * Servers to which requests need no new connection, by id; `undefined` if new connections
   * are not to be avoided.
   */
  readonly connected: ReadonlySet<string> | undefined;
  readonly random: Random;
}

/**
 * Number of random draws among the servers that need no new connection. The best of four
 * is close to the best of the few servers that a host is connected to.
 */
const CONNECTED_DRAWS = 4;

/**
 * Chooses the servers to consider for a request. Their number is bounded, so
 * that the cost of a request does not grow with the fleet.
 * @param ready - Servers that take new work.
 * @param query - The request.
 */
export function chooseCandidates(
  ready: readonly TrackedServer[],
  query: CandidateQuery,
): readonly TrackedServer[] {
  if (ready.length <= MAX_UNSAMPLED_SERVERS) {
    return ready;
  }
  const {excluded, preferredServer, connected, random} = query;
  const allowed = ready.filter(({server}) => !excluded.has(server.id));
  const preferred = allowed.filter(({server}) => server.id === preferredServer);
  return [
    ...new Set([
      ...preferred,
      ...drawSample(allowed, query.countCached, random),
      ...drawConnected(
        allowed.filter(({server}) => connected?.has(server.id)),
        random,
      ),
    ]),
  ];
}

/** Draws some of the connected servers. */
function drawConnected(
  connected: readonly TrackedServer[],
  random: Random,
): TrackedServer[] {
  const drawn: TrackedServer[] = [];
  for (let draw = 0; draw < CONNECTED_DRAWS; draw++) {
    const server = connected[Math.floor(random.next() * connected.length)];
    if (server !== undefined) {
      drawn.push(server);
    }
  }
  return drawn;
}
