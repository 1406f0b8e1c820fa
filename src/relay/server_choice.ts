import {Attempts} from '../attempts/index.js';
import {FleetServer} from '../fleet/index.js';
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

/** Share of its target that a request may spend where that saves prefill. */
const SLACK_SHARE = 0.4;

/** Chooses servers for one request. */
export class ServerChoice {
  constructor(
    private readonly options: RelayOptions,
    private readonly order: ChoiceOrder,
  ) {}

  /** Chooses a server by what is known now. */
  choose(): RoutingDecision {
    const isFirst = this.order.attempts.count() <= 1;
    const {service} = this.order;
    return this.chooseOf(this.options.versionGate.draw(service, isFirst));
  }

  /** Chooses where a run goes on with its memory: at a server of the same version. */
  chooseBeside(from: FleetServer): RoutingDecision {
    return this.chooseOf(({version}) => version === from.version);
  }

  private chooseOf(allows: AllowsServer | undefined): RoutingDecision {
    const {fleet, random} = this.options;
    const {request, service, attempts} = this.order;
    const {prompt} = request;
    return chooseServer(
      {
        promptTokens: prompt.tokensIn,
        expectedTokens: Math.max(1, prompt.tokensOut),
        excluded: attempts.excluded,
        slackMs: this.getSlackMs(),
      },
      fleet.listKnowledge(service, {
        parts: prompt.parts,
        urgency: rankUrgency(request),
        excluded: attempts.excluded,
        ...(allows === undefined ? {} : {allows}),
      }),
      random,
    );
  }

  /** Returns the server of a decision. */
  getServer({chosen}: RoutingDecision): FleetServer | undefined {
    return chosen === undefined
      ? undefined
      : this.options.fleet.get(chosen.server);
  }

  /** The first token may take this long at no loss, with room for surprises. */
  private getSlackMs(): number {
    const {route, arrivedMs} = this.order.request;
    const agoMs = this.options.clock.monotonicMs() - arrivedMs;
    return route.targetMs * SLACK_SHARE - agoMs;
  }
}
