import {Attempts} from '../attempts/index.js';
import {FleetServer, FleetState} from '../fleet/index.js';
import {chooseServer, RoutingDecision} from '../routing/index.js';
import {AllowsServer} from '../rollout/index.js';
import {rankUrgency} from './rank_urgency.js';
import {RelayOptions} from './relay_options.js';
import {RelayRequest} from './relay_request.js';

/** Parameters of a `ServerChoice`. */
export interface ChoiceParams {
  readonly request: RelayRequest;
  /** Service whose servers are considered. */
  readonly service: string;
  /** Attempts made so far: the servers that were tried must not get the request again. */
  readonly attempts: Attempts;
}

/** A routing decision, and the servers that rate limits excluded from it. */
export interface LimitedDecision extends RoutingDecision {
  /** Servers that are excluded only by their rate limits. */
  readonly withheld: readonly string[];
}

/** Part of its target that a request may use up where this saves prefill. */
const SLACK_SHARE = 0.4;

/** Chooses the servers for the attempts at one request. */
export class ServerChoice {
  constructor(
    private readonly options: RelayOptions,
    private readonly params: ChoiceParams,
  ) {}

  /** Chooses a server for the next attempt, by what is known now. */
  choose(): LimitedDecision {
    const isFirst = this.params.attempts.count() <= 1;
    const {service} = this.params;
    return this.chooseAllowed(
      this.options.versionSelector.draw(service, isFirst),
    );
  }

  /**
   * Chooses a server of the same version, where a run can continue from a copy of its
   * memory.
   */
  chooseSameVersion(from: FleetServer): LimitedDecision {
    return this.chooseAllowed(({version}) => version === from.version);
  }

  private chooseAllowed(allows: AllowsServer | undefined): LimitedDecision {
    const {fleet, limits, random} = this.options;
    const {request, service, attempts} = this.params;
    const {prompt} = request;
    const withheld = this.listRateLimited(allows);
    const candidates = fleet.listKnowledge(service, {
      parts: prompt.parts,
      urgency: rankUrgency(request),
      excluded: attempts.excluded,
      allows: excludeServers(allows, withheld),
    });
    const trialServers = candidates.filter(
      ({server, ejected}) =>
        !ejected && !attempts.excluded.has(server) && limits.isTrialDue(server),
    );
    const decision = chooseServer(
      {
        promptTokens: prompt.tokensIn,
        expectedTokens: Math.max(1, prompt.tokensOut),
        excluded: attempts.excluded,
        slackMs: this.getSlackMs(),
      },
      trialServers.length > 0 ? trialServers : candidates,
      random,
    );
    return {...decision, withheld};
  }

  /** Returns the chosen server; absent if there is none or it is no longer known. */
  getServer({chosen}: RoutingDecision): FleetServer | undefined {
    return chosen === undefined
      ? undefined
      : this.options.fleet.get(chosen.server);
  }

  /** Lists the servers that are excluded only by their rate limits. */
  private listRateLimited(allows: AllowsServer | undefined): readonly string[] {
    const {fleet, limits} = this.options;
    if (!limits.hasAny()) {
      return [];
    }
    const {request, service, attempts} = this.params;
    const isCandidate = (server: FleetServer) =>
      server.state === FleetState.READY &&
      !attempts.excluded.has(server.id) &&
      allows?.(server) !== false;
    const hasUnlimited = fleet.hasReady(
      service,
      server => isCandidate(server) && !limits.isLimited(server.id),
    );
    if (hasUnlimited) {
      // Few of many servers are limited, so the others are not checked.
      return limits
        .listUsedUp()
        .filter(id => fleet.get(id)?.service === service);
    }
    const servers = fleet.listServers(service).filter(isCandidate);
    const names = servers.map(({id}) => id);
    return limits.listWithheld(service, names, rankUrgency(request));
  }

  /**
   * Returns the time that the first token may still take without loss, in milliseconds.
   * It is less than the rest of the target, as a margin for unexpected delays.
   */
  private getSlackMs(): number {
    const {route, arrivedMs} = this.params.request;
    const elapsedMs = this.options.clock.monotonicMs() - arrivedMs;
    return route.targetMs * SLACK_SHARE - elapsedMs;
  }
}

/** Adds the servers excluded by rate limits to the condition for a server. */
function excludeServers(
  allows: AllowsServer | undefined,
  withheld: readonly string[],
): AllowsServer | undefined {
  if (withheld.length === 0) {
    return allows;
  }
  const names = new Set(withheld);
  return server => !names.has(server.id) && allows?.(server) !== false;
}
