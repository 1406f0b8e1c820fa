import {Random} from '../random/index.js';
import {drawSample, MAX_UNSAMPLED_SERVERS} from './draw_sample.js';
import {RequestFeatures} from '../server_model/index.js';
import {
  FirstTokenPrediction,
  predictFirstToken,
} from './predict_first_token.js';
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
 * A cost counts as equal to the lowest one if it exceeds it by no more than this
 * fraction of it plus `TIE_TOLERANCE_MS`. One of the servers with equal costs is drawn
 * at random, so that hosts do not all choose the same one.
 */
const TIE_TOLERANCE_FRACTION = 0.05;
const TIE_TOLERANCE_MS = 2;
/**
 * Where times are learned, a server is chosen at random; one whose cost exceeds the lowest
 * one by this share of it is chosen with 37% of the probability. All hosts know the same
 * times, and learn of each other's requests 0.2 to 0.8 s late. If each chose the fastest
 * server, these would be overloaded meanwhile: in a trial with 61 hosts and 42 engines
 * that differ by up to 30%, 5.6% of the answers took over 519 ms, 0.8% with this share,
 * and 0.9% with constants in place of learned times.
 */
const COST_SCALE_SHARE = 0.35;
const MAX_RUNNERS_UP = 2;
/**
 * Additional weight of a millisecond of the request's own prefill, where the
 * request has slack. The time to the first token, with weight 1, contains this
 * millisecond already, so its total weight is 4; waiting time has weight 1. Past
 * the slack, `EXTRA_OVER_SLACK_WEIGHT` is added to both. Recomputing a cached
 * part of a prompt delays every stream that runs on the server. With emulated
 * servers (`npm run measure -- --only reuse`), 558,000 tokens of shared prompt
 * parts are computed again with this weight and 819,000 without it, and the
 * first tokens come equally early.
 */
const EXTRA_OWN_PREFILL_WEIGHT = 3;
/**
 * Additional weight of each millisecond by which the time to the first token
 * exceeds the slack: past the slack, the time to the first token is what matters.
 */
const EXTRA_OVER_SLACK_WEIGHT = 5;

/** A server with the cost of choosing it, in weighted milliseconds. */
interface CostedServer extends ScoredServer {
  readonly cost: number;
}

/**
 * Chooses the server with the lowest cost, or one of those with about the lowest
 * cost at random. Where times are learned, each server may be drawn, those with a low
 * cost the most often. The slack of a request is the time to the first token up to
 * which an earlier one has no benefit for the caller. Without slack, the cost is
 * the predicted time to the first token.
 *
 * A cached prefix reduces the predicted prefill time and a queue adds its
 * waiting time, so a server that has the prefix is preferred only as long as
 * this is faster. A request with slack may wait longer where that saves
 * prefill. Of many servers, only a random sample and the servers with most of
 * the prefix cached are scored. This spreads the choices of hosts that all see
 * the same delayed load reports.
 *
 * The reason in the result is for the log. It tells whether the chosen server is
 * assumed to have a part of the prompt cached, not what decided the choice.
 */
export const chooseServer: ChooseServer = (request, servers, random) => {
  const usable = getUsable(request, servers);
  if (usable.length === 0) {
    return {runnersUp: [], reason: 'no-server'};
  }
  const sample = getSample(usable, random);
  const scored = sample.map(knowledge => scoreServer(request, knowledge));
  scored.sort((a, b) => a.cost - b.cost);
  const best = scored[0];
  if (best === undefined) {
    return {runnersUp: [], reason: 'no-server'};
  }
  const chosen =
    best.features === undefined
      ? drawTied(scored, best, random)
      : drawByCost(scored, best, request.maxWaitMs, random);
  const runnersUp = scored
    .filter(option => option !== chosen)
    .slice(0, MAX_RUNNERS_UP);
  const chosenKnowledge = sample.find(
    knowledge => knowledge.server === chosen.server,
  );
  const reason =
    (chosenKnowledge?.cachedTokens ?? 0) > 0
      ? 'cached-prefix'
      : 'earliest-first-token';
  return {chosen, runnersUp, reason};
};

/** Draws one of the servers whose costs count as equal to the lowest one. */
function drawTied(
  scored: readonly CostedServer[],
  best: CostedServer,
  random: Random,
): CostedServer {
  const maxTiedCost =
    best.cost * (1 + TIE_TOLERANCE_FRACTION) + TIE_TOLERANCE_MS;
  const tied = scored.filter(option => option.cost <= maxTiedCost);
  return tied[Math.floor(random.next() * tied.length)] ?? best;
}

/**
 * Draws a server with a probability that falls exponentially with its additional cost.
 * Servers that would not start with the request in time are left out.
 */
function drawByCost(
  scored: readonly CostedServer[],
  best: CostedServer,
  maxWaitMs: number | undefined,
  random: Random,
): CostedServer {
  const scale = best.cost * COST_SCALE_SHARE + TIE_TOLERANCE_MS;
  const options = scored.filter(
    ({waitMs = 0}) => maxWaitMs === undefined || waitMs <= maxWaitMs,
  );
  const weights = options.map(({cost}) => Math.exp((best.cost - cost) / scale));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = random.next() * total;
  for (const [index, weight] of weights.entries()) {
    rest -= weight;
    const option = options[index];
    if (rest <= 0 && option !== undefined) {
      return option;
    }
  }
  return best;
}

/**
 * Leaves out excluded and ejected servers. If no server remains, the ejected
 * ones are returned: a server that may fail is better than none.
 */
export function getUsable(
  request: RoutingRequest,
  servers: readonly ServerKnowledge[],
): readonly ServerKnowledge[] {
  const allowed = servers.filter(
    knowledge => !request.excluded.has(knowledge.server),
  );
  const healthy = allowed.filter(knowledge => !knowledge.ejected);
  return healthy.length > 0 ? healthy : allowed;
}

function scoreServer(
  request: RoutingRequest,
  knowledge: ServerKnowledge,
): CostedServer {
  const {promptTokens, expectedTokens, slackMs} = request;
  const prediction = predictFirstToken(knowledge, promptTokens, expectedTokens);
  // `prefillMs` includes `ownPrefillMs`. `waitMs` is the time until the prefill of the
  // request starts, without recently observed delays; it does not enter the cost.
  const {queueMs, prefillMs, fixedMs, ownPrefillMs, waitMs} = prediction;
  const firstTokenMs =
    queueMs +
    prefillMs +
    fixedMs +
    knowledge.hopMs +
    (knowledge.connectMs ?? 0);
  const cost =
    slackMs === undefined
      ? firstTokenMs
      : firstTokenMs +
        EXTRA_OWN_PREFILL_WEIGHT * ownPrefillMs +
        EXTRA_OVER_SLACK_WEIGHT * Math.max(0, firstTokenMs - slackMs);
  const features = getFeatures(
    knowledge,
    promptTokens,
    prediction,
    firstTokenMs,
  );
  return {
    server: knowledge.server,
    firstTokenMs,
    queueMs,
    waitMs,
    cost,
    ...(features === undefined ? {} : {features}),
  };
}

/** Returns what the time of the answer is learned from; `undefined` if it is not. */
function getFeatures(
  knowledge: ServerKnowledge,
  promptTokens: number,
  prediction: FirstTokenPrediction,
  firstTokenMs: number,
): RequestFeatures | undefined {
  const {learned, load, hopMs} = knowledge;
  if (learned === undefined || load === undefined) {
    return undefined;
  }
  return {
    kind: learned.kind,
    ownTokens: Math.max(0, promptTokens - knowledge.cachedTokens),
    aheadTokens: knowledge.pendingPrefillTokens,
    occupancy: load.running / Math.max(1, load.capacity),
    slotWaitMs: prediction.slotWaitMs,
    hopMs,
    expectedMs: firstTokenMs - prediction.lateMs,
  };
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
