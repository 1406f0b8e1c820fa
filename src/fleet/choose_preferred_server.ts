import {findByRendezvous} from '../random/index.js';
import {PromptPart} from './part_cache.js';
import {TrackedServer} from './tracked_server.js';

/**
 * Chooses the preferred server of prompts that begin with the same parts, by
 * rendezvous hashing of the last of these parts. All hosts choose the same
 * server, so that only one server computes the parts.
 * @param shared - Leading parts that other prompts may have, too.
 * @param ready - Servers that take new work.
 * @returns Id of the server; `undefined` without shared parts.
 */
export function choosePreferredServer(
  shared: readonly PromptPart[],
  ready: readonly TrackedServer[],
): string | undefined {
  const longestShared = shared.at(-1);
  if (longestShared === undefined) {
    return undefined;
  }
  const ids = ready.map(({server}) => server.id);
  return findByRendezvous(longestShared.id, ids);
}
