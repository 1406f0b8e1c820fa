import {Random} from '../random/index.js';
import {drawSample, MAX_UNSAMPLED_SERVERS} from './draw_sample.js';
import {predictFirstToken} from './predict_first_token.js';
import {
  RoutingDecision,
  RoutingRequest,
  ScoredServer,
  ServerKnowledge,
} from './server_knowledge.js';

/**
 * A policy that chooses a server for a request; the baseline policies have the
 * same type.
 */
export type ChooseServer = (
  request: RoutingRequest,
  servers: readonly ServerKnowledge[],
  random: Random,
) => RoutingDecision;

/**
 * Costs within this share of the lowest one, plus `TIE_TOLERANCE_MS`, count as
 * equal. One of the equal servers is drawn at random, so that hosts do not all
 * choose the same one.
 */
const TIE_TOLERANCE_SHARE = 0.05;
const TIE_TOLERANCE_MS = 2;
const MAX_RUNNERS_UP = 2;
/**
 * Weight of a millisecond of the request's own prefill, where the request has
 * slack; waiting time has weight 1. Recomputing a cached part of a prompt
 * delays every stream that runs on the server. With emulated servers (`npm run
 * measure -- --only reuse`), 558,000 shared tokens are recomputed with this
 * weight and 819,000 without it, and the first tokens come equally early.
 */
const OWN_PREFILL_WEIGHT = 3;
/**
 * Additional weight of each millisecond by which the first token exceeds the
 * slack: past the slack, the time to the first token is what matters.
 */
const OVER_SLACK_WEIGHT = 5;

/** A server with the cost of choosing it, in weighted milliseconds. */
interface CostedServer extends ScoredServer {
  readonly cost: number;
}

/**
 * Chooses the server with the lowest cost: without slack, the one with the
 * earliest predicted first token.
 *
 * A cached prefix reduces the predicted prefill time and a queue adds its
 * waiting time, so a server that has the prefix is preferred only as long as
 * this is faster. A request with slack may wait longer where that saves
 * prefill. Of many servers, only a random sample and the servers with most of
 * the prefix cached are scored. This spreads the choices of hosts that all see
 * the same delayed load reports.
 */
export const chooseServer: ChooseServer = (request, servers, random) => {
  const usable = getUsable(request, servers);
  if (usable.length === 0) {
    return {runnersUp: [], reason: 'no-server'};
  }
  const sample = getSample(usable, random);
  const scored = sample.map(known => scoreServer(request, known));
  scored.sort((a, b) => a.cost - b.cost);
  const best = scored[0];
  if (best === undefined) {
    return {runnersUp: [], reason: 'no-server'};
  }
  const maxTiedCost = best.cost * (1 + TIE_TOLERANCE_SHARE) + TIE_TOLERANCE_MS;
  const tied = scored.filter(option => option.cost <= maxTiedCost);
  const chosen = tied[Math.floor(random.next() * tied.length)] ?? best;
  const runnersUp = scored
    .filter(option => option !== chosen)
    .slice(0, MAX_RUNNERS_UP);
  const chosenKnowledge = sample.find(known => known.server === chosen.server);
  const reason =
    (chosenKnowledge?.cachedTokens ?? 0) > 0
      ? 'cached-prefix'
      : 'earliest-first-token';
  return {chosen, runnersUp, reason};
};

/**
 * Leaves out excluded and ejected servers. If no server remains, the ejected
 * ones are returned: a server that may fail is better than none.
 */
export function getUsable(
  request: RoutingRequest,
  servers: readonly ServerKnowledge[],
): readonly ServerKnowledge[] {
  const allowed = servers.filter(known => !request.excluded.has(known.server));
  const healthy = allowed.filter(known => !known.ejected);
  return healthy.length > 0 ? healthy : allowed;
}

function scoreServer(
  request: RoutingRequest,
  known: ServerKnowledge,
): CostedServer {
  const {promptTokens, expectedTokens, slackMs} = request;
  const prediction = predictFirstToken(known, promptTokens, expectedTokens);
  const {queueMs, prefillMs, ownPrefillMs, waitMs} = prediction;
  const firstTokenMs = queueMs + prefillMs + known.hopMs;
  const cost =
    slackMs === undefined
      ? firstTokenMs
      : firstTokenMs +
        OWN_PREFILL_WEIGHT * ownPrefillMs +
        OVER_SLACK_WEIGHT * Math.max(0, firstTokenMs - slackMs);
  return {server: known.server, firstTokenMs, queueMs, waitMs, cost};
}

function getSample(
  usable: readonly ServerKnowledge[],
  random: Random,
): readonly ServerKnowledge[] {
  if (usable.length <= MAX_UNSAMPLED_SERVERS) {
    return usable;
  }
  return [...drawSample(usable, ({cachedTokens}) => cachedTokens, random)];
}
