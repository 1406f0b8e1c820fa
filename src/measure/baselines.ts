/** Baseline policies that the routing is compared with. */
import {hashText} from '../random/index.js';
import {ChooseServer, getUsable, ServerKnowledge} from '../routing/index.js';

/** Chooses a usable server at random. */
export const chooseAtRandom: ChooseServer = (request, servers, random) => {
  const usable = getUsable(request, servers);
  return createDecision(
    usable[Math.floor(random.next() * usable.length)],
    'random',
  );
};

/** Creates a policy that chooses the usable servers in turn. */
export function createRoundRobin(): ChooseServer {
  let turn = 0;
  return (request, servers) => {
    const usable = getUsable(request, servers);
    return createDecision(
      usable[turn++ % Math.max(1, usable.length)],
      'round-robin',
    );
  };
}

/** Chooses the server with the fewest in-flight requests of this host. */
export const chooseLeastInFlight: ChooseServer = (request, servers) => {
  let best: ServerKnowledge | undefined;
  for (const known of getUsable(request, servers)) {
    if (best === undefined || known.inFlight < best.inFlight) {
      best = known;
    }
  }
  return createDecision(best, 'least-in-flight');
};

/** Chooses the server by rendezvous hashing of the prompt's prefix, whatever its queue. */
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
  return createDecision(best, 'prefix-hash');
};

function createDecision(known: ServerKnowledge | undefined, reason: string) {
  return known === undefined
    ? {runnersUp: [], reason: 'no-server'}
    : {
        chosen: {server: known.server, firstTokenMs: 0, queueMs: 0},
        runnersUp: [],
        reason,
      };
}
