import {Attempts} from '../attempts/index.js';
import {FleetServer, FleetState} from '../fleet/index.js';
import {chooseServer, RoutingDecision} from '../routing/index.js';
import {ServerPredicate} from '../rollout/index.js';
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
  /** Returns the version at which a stream that goes on began; absent if the stream begins. */
  readonly getBoundVersion: () => string | undefined;
}

/** A routing decision that respects the rate limits and backoffs of servers. */
export interface LimitAwareDecision extends RoutingDecision {
  /** Ids of the servers that rate limits exclude from the choice. */
  readonly withheld: readonly string[];
  /** Ids of the servers that backoffs exclude from the choice. */
  readonly backingOff: readonly string[];
  /**
   * Whether the service has servers to which this host can open no connection, and none
   * that it reaches by an open one.
   */
  readonly isUnreachable: boolean;
  /** Whether the servers are brittle, and this host has no free slot at any of them. */
  readonly isFull: boolean;
}

/**
 * Share of the first-token target that a request may use up, since its arrival, where the
 * choice of a server saves prefill.
 */
const SLACK_SHARE = 0.4;

/** Decision for a request that has to wait for a slot of a brittle server. */
const FULL: LimitAwareDecision = {
  runnersUp: [],
  reason: 'no-slot',
  withheld: [],
  backingOff: [],
  isUnreachable: false,
  isFull: true,
};

/** Chooses the servers for the attempts at one request. */
export class ServerChoice {
  constructor(
    private readonly options: RelayOptions,
    private readonly params: ChoiceParams,
  ) {}

  /**
   * Chooses a server for the next attempt from the current state of the servers.
   * @param isNext - Whether the request has waited for a slot of a brittle server; others
   *   do not overtake those that wait.
   */
  choose(isNext = false): LimitAwareDecision {
    const isFirst = this.params.attempts.count() <= 1;
    if (this.options.reachability.isUnreachable(this.params.service)) {
      return this.chooseConnected();
    }
    const {request, service} = this.params;
    const {brittle, fleet} = this.options;
    const bound = this.allowBoundVersion();
    // Its caller is not kept waiting for a slot at servers of other versions.
    const mayWait = bound === undefined || fleet.hasReady(service, bound);
    if (
      mayWait &&
      !isNext &&
      brittle.mustQueue(service, rankUrgency(request))
    ) {
      return FULL;
    }
    if (bound !== undefined) {
      return this.chooseAllowed(bound);
    }
    const decision = this.chooseVersion(isFirst);
    // During a trial of a version, later attempts go to the previous one. A first attempt does
    // as well if no server of the version on trial takes requests now.
    return decision.chosen === undefined && isFirst
      ? this.chooseVersion(false)
      : decision;
  }

  /**
   * Chooses a server for a run beside one whose server is silent: one that shows no sign of
   * being silent itself.
   * @param isNext - See `choose`.
   */
  chooseBeside(isNext: boolean): LimitAwareDecision {
    const {brittle, fleet, reachability, versionSelector} = this.options;
    const {request, service} = this.params;
    if (reachability.isUnreachable(service)) {
      return this.chooseConnected();
    }
    if (!isNext && brittle.mustQueue(service, rankUrgency(request))) {
      return FULL;
    }
    const allows =
      this.allowBoundVersion() ?? versionSelector.select(service, false);
    return this.chooseAllowed(
      server => fleet.isResponsive(server.id) && allows?.(server) !== false,
    );
  }

  /** Chooses among the servers to which a connection is open that may still deliver. */
  private chooseConnected(): LimitAwareDecision {
    const {reachability, hasIdleConnection} = this.options;
    const {service} = this.params;
    const isUsable = reachability.trustsOpenConnections(service);
    const allows = this.allowBoundVersion();
    const decision = this.chooseAllowed(
      server =>
        isUsable &&
        hasIdleConnection?.(server.id) === true &&
        allows?.(server) !== false,
    );
    return {...decision, isUnreachable: decision.chosen === undefined};
  }

  private chooseVersion(isFirst: boolean): LimitAwareDecision {
    const {service} = this.params;
    return this.chooseAllowed(
      this.options.versionSelector.select(service, isFirst),
    );
  }

  /**
   * Returns the condition for a server that goes on with a stream; `undefined` if the stream
   * begins. What two versions write does not fit together.
   */
  private allowBoundVersion(): ServerPredicate | undefined {
    const bound = this.params.getBoundVersion();
    if (bound === undefined) {
      return undefined;
    }
    const {versionSelector} = this.options;
    const isPermitted = versionSelector.permits(this.params.service, bound);
    return ({version = ''}) => isPermitted && version === bound;
  }

  /**
   * Chooses a server of the same version, where a run can continue from a copy of its KV
   * cache.
   */
  chooseSameVersion(from: FleetServer): LimitAwareDecision {
    return this.chooseAllowed(({version}) => version === from.version);
  }

  /**
   * Chooses a server that meets a condition.
   * @param allows - The condition; `undefined` allows all servers of the service.
   */
  private chooseAllowed(
    allows: ServerPredicate | undefined,
  ): LimitAwareDecision {
    const {fleet, limits, random} = this.options;
    const {request, service, attempts} = this.params;
    const {prompt} = request;
    const backingOff = this.listBackingOff(allows);
    const withoutSlot = this.listWithoutSlot(allows);
    const allowsNow = excludeServers(
      excludeServers(allows, backingOff),
      withoutSlot,
    );
    const withheld = this.listRateLimited(allowsNow);
    const candidates = fleet.listKnowledge(service, {
      parts: prompt.parts,
      urgency: rankUrgency(request),
      kind: {route: request.route.name, hasPrefill: request.route.streaming},
      excluded: attempts.excluded,
      allows: excludeServers(allowsNow, withheld),
    });
    // Servers to which any request should go now, to check whether they are still limited.
    // If there are any, the choice is among them alone. Servers that are ejected after
    // failures, or stalled, are not checked.
    const trialServers = candidates.filter(
      ({server, ejected}) =>
        !ejected && !attempts.excluded.has(server) && limits.isProbeDue(server),
    );
    const decision = chooseServer(
      {
        promptTokens: prompt.tokensIn,
        expectedTokens: Math.max(1, prompt.tokensOut),
        excluded: attempts.excluded,
        slackMs: this.getSlackMs(),
        maxWaitMs: request.route.targetMs,
      },
      trialServers.length > 0 ? trialServers : candidates,
      random,
    );
    const isFull =
      decision.chosen === undefined &&
      withoutSlot.some(id => !attempts.excluded.has(id));
    return {
      ...decision,
      ...(isFull ? {reason: FULL.reason} : {}),
      withheld,
      backingOff,
      isUnreachable: false,
      isFull,
    };
  }

  /** Returns the chosen server; absent if there is none or it is no longer known. */
  getServer({chosen}: RoutingDecision): FleetServer | undefined {
    return chosen === undefined
      ? undefined
      : this.options.fleet.get(chosen.server);
  }

  /** Lists the brittle servers of the service at which this host has no free slot. */
  private listWithoutSlot(
    allows: ServerPredicate | undefined,
  ): readonly string[] {
    const {brittle, fleet} = this.options;
    const {service} = this.params;
    if (!brittle.isBrittle(service)) {
      return [];
    }
    return fleet
      .listServers(service)
      .filter(
        server =>
          server.state === FleetState.READY &&
          allows?.(server) !== false &&
          !brittle.hasFreeSlot(service, server.id),
      )
      .map(({id}) => id);
  }

  /** Lists the ids of the ready servers of the service that backoffs exclude. */
  private listBackingOff(
    allows: ServerPredicate | undefined,
  ): readonly string[] {
    const {backoffs, fleet} = this.options;
    const {service} = this.params;
    return backoffs.listBlocked().filter(id => {
      const server = fleet.get(id);
      return (
        server?.service === service &&
        server.state === FleetState.READY &&
        allows?.(server) !== false
      );
    });
  }

  /**
   * Lists the ids of the servers of the service that rate limits exclude. If a candidate
   * without a limit is ready, these are the servers without a permit. If all candidates
   * are limited, permits are reserved for more urgent requests; see
   * `ServerLimits.listExcluded`.
   */
  private listRateLimited(
    allows: ServerPredicate | undefined,
  ): readonly string[] {
    const {fleet, limits} = this.options;
    if (!limits.hasAny()) {
      return [];
    }
    const {request, service, attempts} = this.params;
    const isCandidate = (server: FleetServer) =>
      server.state === FleetState.READY &&
      !attempts.excluded.has(server.id) &&
      allows?.(server) !== false;
    const hasUnlimitedCandidate = fleet.hasReady(
      service,
      server => isCandidate(server) && !limits.isLimited(server.id),
    );
    if (hasUnlimitedCandidate) {
      // Few of many servers are limited, so the others are not checked.
      return limits
        .listWithoutPermit()
        .filter(id => fleet.get(id)?.service === service);
    }
    const servers = fleet.listServers(service).filter(isCandidate);
    const ids = servers.map(({id}) => id);
    return limits.listExcluded(service, ids, rankUrgency(request));
  }

  /**
   * Returns the time from now beyond which a later first token weighs more in the choice
   * of a server, in milliseconds; see `RoutingRequest.slackMs`. It is less than the rest
   * of the target, as a margin for unexpected delays.
   */
  private getSlackMs(): number {
    const {route, arrivedMs} = this.params.request;
    const elapsedMs = this.options.clock.monotonicMs() - arrivedMs;
    return route.targetMs * SLACK_SHARE - elapsedMs;
  }
}

/** Narrows a condition for servers: it also excludes the servers in a list. */
function excludeServers(
  allows: ServerPredicate | undefined,
  excluded: readonly string[],
): ServerPredicate | undefined {
  if (excluded.length === 0) {
    return allows;
  }
  const excludedIds = new Set(excluded);
  return server => !excludedIds.has(server.id) && allows?.(server) !== false;
}
