import {Random} from '../random/index.js';
import {TrackedServer} from './tracked_server.js';

/** What the choice of candidates depends on. */
export interface CandidateQuestion {
  /** Servers that must not get the request again. */
  readonly excluded: ReadonlySet<string>;
  /** Server on which all hosts agree for the request's prompt. */
  readonly home: string | undefined;
  /** Counts the prompt's tokens that a server is believed to have cached. */
  readonly countCached: (server: TrackedServer) => number;
  readonly random: Random;
}

/** Up to this many servers are all looked at; of more, a sample. */
const LOOK_AT_ALL = 16;
/**
 * Servers drawn of more: the best of eight is close to the best of all, and hosts
 * that all see the same late word do not all choose the same one.
 */
const DRAWN = 8;
/** Servers that hold most of the prompt, looked at besides. */
const HOLDERS = 2;

/**
 * Chooses the servers that are looked at for a request, so that what a request
 * costs does not grow with the fleet.
 * @param ready - Servers that take new work.
 * @param question - The request.
 */
export function chooseCandidates(
  ready: readonly TrackedServer[],
  question: CandidateQuestion,
): readonly TrackedServer[] {
  if (ready.length <= LOOK_AT_ALL) {
    return ready;
  }
  const {excluded, home, random} = question;
  const allowed = ready.filter(({server}) => !excluded.has(server.id));
  const chosen = new Set(allowed.filter(({server}) => server.id === home));
  for (const holder of listHolders(allowed, question.countCached)) {
    chosen.add(holder);
  }
  for (let draw = 0; draw < DRAWN; draw++) {
    const drawn = allowed[Math.floor(random.next() * allowed.length)];
    if (drawn !== undefined) {
      chosen.add(drawn);
    }
  }
  return [...chosen];
}

function listHolders(
  servers: readonly TrackedServer[],
  countCached: (server: TrackedServer) => number,
): TrackedServer[] {
  const holders: {server: TrackedServer; cached: number}[] = [];
  for (const server of servers) {
    const cached = countCached(server);
    if (cached > 0) {
      holders.push({server, cached});
    }
  }
  holders.sort((a, b) => b.cached - a.cached);
  return holders.slice(0, HOLDERS).map(({server}) => server);
}
