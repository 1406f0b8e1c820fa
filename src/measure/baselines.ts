/** Baselines that routing is measured against. */
import {hashText} from '../random/index.js';
import {ChooseServer, getUsable, ServerKnowledge} from '../routing/index.js';

/** Any usable server, by chance. */
export const chooseAtRandom: ChooseServer = (request, servers, random) => {
  const usable = getUsable(request, servers);
  return decide(usable[Math.floor(random.next() * usable.length)], 'random');
};

/** Each usable server in turn. */
export function createRoundRobin(): ChooseServer {
  let turn = 0;
  return (request, servers) => {
    const usable = getUsable(request, servers);
    return decide(usable[turn++ % Math.max(1, usable.length)], 'round-robin');
  };
}

/** The server with the fewest requests of this host in flight. */
export const chooseLeastInFlight: ChooseServer = (request, servers) => {
  let best: ServerKnowledge | undefined;
  for (const known of getUsable(request, servers)) {
    if (best === undefined || known.inFlight < best.inFlight) {
      best = known;
    }
  }
  return decide(best, 'least-in-flight');
};

/** The server a prompt's length and prefix hash to, whatever its queue. */
export const chooseByPrefixHash: ChooseServer = (request, servers) => {
  const usable = getUsable(request, servers);
  let best: ServerKnowledge | undefined;
  let bestHash = -1;
  for (const known of usable) {
    const hash = hashText(`${request.prefix ?? ''}|${known.server}`);
    if (hash > bestHash) {
      best = known;
      bestHash = hash;
    }
  }
  return decide(best, 'prefix-hash');
};

function decide(known: ServerKnowledge | undefined, reason: string) {
  return known === undefined
    ? {runnersUp: [], reason: 'no-server'}
    : {
        chosen: {server: known.server, firstTokenMs: 0, queueMs: 0},
        runnersUp: [],
        reason,
      };
}
