import {Random} from '../random/index.js';
import {drawSample, LOOK_AT_ALL} from './draw_sample.js';
import {predictFirstToken} from './predict_first_token.js';
import {
  RoutingDecision,
  RoutingRequest,
  ScoredServer,
  ServerKnowledge,
} from './server_knowledge.js';

/** A policy that chooses a server; baselines share this shape. */
export type ChooseServer = (
  request: RoutingRequest,
  servers: readonly ServerKnowledge[],
  random: Random,
) => RoutingDecision;

/** Predictions this close count as equal; chance decides, against herding. */
const TIE_SHARE = 0.05;
const TIE_MS = 2;
const RUNNERS_UP = 2;
/**
 * What a millisecond of own prefill counts beside one of waiting, while there is
 * slack: a prompt part computed twice delays every stream that runs there. Before
 * emulated servers (`npm run measure -- --only reuse`) shared tokens computed again
 * are 558,000 with it and 819,000 without, first tokens as early.
 */
const WORK_WEIGHT = 3;
/** What a millisecond past the slack counts: then only the first token matters. */
const LATE_WEIGHT = 5;

/** A server with what choosing it costs, in weighed milliseconds. */
interface Option extends ScoredServer {
  readonly cost: number;
}

/**
 * Chooses the server with the earliest predicted first token.
 *
 * A cached prefix is worth the prefill it saves and a queue costs its wait, so
 * affinity holds exactly as long as it pays. A request with slack may wait a
 * little where that saves prefill. Of many servers a random sample
 * and the best holders of the prefix are scored, which spreads the choices of
 * hosts that all see the same late reports.
 */
export const chooseServer: ChooseServer = (request, servers, random) => {
  const usable = getUsable(request, servers);
  if (usable.length === 0) {
    return {runnersUp: [], reason: 'no-server'};
  }
  const sample = getSample(usable, random);
  const scored = sample.map(known => score(request, known));
  scored.sort((a, b) => a.cost - b.cost);
  const best = scored[0];
  if (best === undefined) {
    return {runnersUp: [], reason: 'no-server'};
  }
  const limit = best.cost * (1 + TIE_SHARE) + TIE_MS;
  const tied = scored.filter(option => option.cost <= limit);
  const chosen = tied[Math.floor(random.next() * tied.length)] ?? best;
  const runnersUp = scored
    .filter(option => option !== chosen)
    .slice(0, RUNNERS_UP);
  const cached = sample.find(known => known.server === chosen.server);
  const reason =
    (cached?.cachedTokens ?? 0) > 0 ? 'cached-prefix' : 'earliest-first-token';
  return {chosen, runnersUp, reason};
};

/**
 * Leaves out excluded and ejected servers; when that leaves none, ejected ones
 * count again, since a server that may fail beats none.
 */
export function getUsable(
  request: RoutingRequest,
  servers: readonly ServerKnowledge[],
): readonly ServerKnowledge[] {
  const allowed = servers.filter(known => !request.excluded.has(known.server));
  const healthy = allowed.filter(known => !known.ejected);
  return healthy.length > 0 ? healthy : allowed;
}

function score(request: RoutingRequest, known: ServerKnowledge): Option {
  const {promptTokens, expectedTokens, slackMs} = request;
  const prediction = predictFirstToken(known, promptTokens, expectedTokens);
  const {queueMs, prefillMs, ownPrefillMs, waitMs} = prediction;
  const firstTokenMs = queueMs + prefillMs + known.hopMs;
  const cost =
    slackMs === undefined
      ? firstTokenMs
      : firstTokenMs +
        WORK_WEIGHT * ownPrefillMs +
        LATE_WEIGHT * Math.max(0, firstTokenMs - slackMs);
  return {server: known.server, firstTokenMs, queueMs, waitMs, cost};
}

function getSample(
  usable: readonly ServerKnowledge[],
  random: Random,
): readonly ServerKnowledge[] {
  if (usable.length <= LOOK_AT_ALL) {
    return usable;
  }
  return [...drawSample(usable, ({cachedTokens}) => cachedTokens, random)];
}
