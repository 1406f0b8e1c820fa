import {Attempts} from '../attempts/index.js';
import {FleetServer, FleetState} from '../fleet/index.js';
import {chooseServer, RoutingDecision} from '../routing/index.js';
import {AllowsServer} from '../rollout/index.js';
import {rankUrgency} from './rank_urgency.js';
import {RelayOptions} from './relay_options.js';
import {RelayRequest} from './relay_request.js';

/** What a choice is made for. */
export interface ChoiceOrder {
  readonly request: RelayRequest;
  /** Service whose servers are chosen from. */
  readonly service: string;
  /** Names the servers that must not get the request again. */
  readonly attempts: Attempts;
}

/** A choice, and what limits kept it from. */
export interface LimitedDecision extends RoutingDecision {
  /** Servers that the request may go to but for their limits. */
  readonly withheld: readonly string[];
}

/** Share of its target that a request may spend where that saves prefill. */
const SLACK_SHARE = 0.4;

/** Chooses servers for one request. */
export class ServerChoice {
  constructor(
    private readonly options: RelayOptions,
    private readonly order: ChoiceOrder,
  ) {}

  /** Chooses a server by what is known now. */
  choose(): LimitedDecision {
    const isFirst = this.order.attempts.count() <= 1;
    const {service} = this.order;
    return this.chooseOf(this.options.versionGate.draw(service, isFirst));
  }

  /** Chooses where a run goes on with its memory: at a server of the same version. */
  chooseBeside(from: FleetServer): LimitedDecision {
    return this.chooseOf(({version}) => version === from.version);
  }

  private chooseOf(allows: AllowsServer | undefined): LimitedDecision {
    const {fleet, limits, random} = this.options;
    const {request, service, attempts} = this.order;
    const {prompt} = request;
    const withheld = this.listWithheld(allows);
    const known = fleet.listKnowledge(service, {
      parts: prompt.parts,
      urgency: rankUrgency(request),
      excluded: attempts.excluded,
      allows: narrow(allows, withheld),
    });
    const due = known.filter(
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
      due.length > 0 ? due : known,
      random,
    );
    return {...decision, withheld};
  }

  /** Returns the server of a decision. */
  getServer({chosen}: RoutingDecision): FleetServer | undefined {
    return chosen === undefined
      ? undefined
      : this.options.fleet.get(chosen.server);
  }

  /** Lists the servers that only their limits keep the request from. */
  private listWithheld(allows: AllowsServer | undefined): readonly string[] {
    const {fleet, limits} = this.options;
    if (!limits.hasAny()) {
      return [];
    }
    const {request, service, attempts} = this.order;
    const isOpen = (server: FleetServer) =>
      server.state === FleetState.READY &&
      !attempts.excluded.has(server.id) &&
      allows?.(server) !== false;
    const hasFree = fleet.hasReady(
      service,
      server => isOpen(server) && !limits.isLimited(server.id),
    );
    if (hasFree) {
      // Of many servers few are limited: the others need not be looked at.
      return limits
        .listUsedUp()
        .filter(id => fleet.get(id)?.service === service);
    }
    const servers = fleet.listServers(service).filter(isOpen);
    const names = servers.map(({id}) => id);
    return limits.listWithheld(service, names, rankUrgency(request));
  }

  /** The first token may take this long at no loss, with room for surprises. */
  private getSlackMs(): number {
    const {route, arrivedMs} = this.order.request;
    const agoMs = this.options.clock.monotonicMs() - arrivedMs;
    return route.targetMs * SLACK_SHARE - agoMs;
  }
}

/** Narrows what a request may go to by the servers that are withheld from it. */
function narrow(
  allows: AllowsServer | undefined,
  withheld: readonly string[],
): AllowsServer | undefined {
  if (withheld.length === 0) {
    return allows;
  }
  const names = new Set(withheld);
  return server => !names.has(server.id) && allows?.(server) !== false;
}
