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
  readonly random: Random;
}

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
  const {excluded, preferredServer, random} = query;
  const allowed = ready.filter(({server}) => !excluded.has(server.id));
  const preferred = allowed.filter(({server}) => server.id === preferredServer);
  return [
    ...new Set([
      ...preferred,
      ...drawSample(allowed, query.countCached, random),
    ]),
  ];
}
