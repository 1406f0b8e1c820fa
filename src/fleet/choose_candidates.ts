import {Random} from '../random/index.js';
import {drawSample, LOOK_AT_ALL} from '../routing/index.js';
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
  const atHome = allowed.filter(({server}) => server.id === home);
  return [
    ...new Set([
      ...atHome,
      ...drawSample(allowed, question.countCached, random),
    ]),
  ];
}
