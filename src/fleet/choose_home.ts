import {findByRendezvous} from '../random/index.js';
import {PromptPart} from './part_memory.js';
import {TrackedServer} from './tracked_server.js';

/**
 * Chooses the server at which a shared part of prompts is at home: all hosts agree
 * on it, so that one server computes the part.
 * @param shared - Parts that other prompts may begin with.
 * @param ready - Servers that take new work.
 */
export function chooseHome(
  shared: readonly PromptPart[],
  ready: readonly TrackedServer[],
): string | undefined {
  const last = shared.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const ids = ready.map(({server}) => server.id);
  return findByRendezvous(last.id, ids);
}
