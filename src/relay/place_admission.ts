import {
  decidePlace,
  getPlaceShare,
  PlaceContext,
  PlaceCounter,
  PlaceDecision,
  spreadRetry,
  Weights,
} from '../admission/index.js';
import {CatalogStore, CatalogView} from '../catalog/index.js';
import {ExecutionStatus, Problem} from '../errors/index.js';
import {Fleet, FleetState} from '../fleet/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Random} from '../random/index.js';
import {RelayRequest} from './relay_request.js';
import {countMoreUrgent, ServiceRanks} from './service_ranks.js';

/** Dependencies of a `PlaceAdmission`. */
export interface PlaceAdmissionOptions {
  readonly isEnabled: () => boolean;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly catalog: Pick<CatalogStore, 'getView'>;
  readonly fleet: Pick<Fleet, 'listServers'>;
  readonly counter: PlaceCounter;
  /** Returns the fraction of the hosts whose requests in flight are known, 0 to 1. */
  readonly getKnownFraction: () => number;
}

/** A stream that is about to be sent. */
export interface PlaceRequest {
  readonly request: RelayRequest;
  readonly service: string;
  /** Predicted wait until the best server starts, in milliseconds. */
  readonly waitMs: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Least part of the places that a host and those it hears use. Hosts that are cut off and
 * hosts that were killed look the same; places left to killed hosts would be idle.
 */
const MIN_PLACES_FRACTION = 0.5;
const SHARE_DIGITS = 1;

/** Decides which streams are sent to the servers of a service, where places are scarce. */
export class PlaceAdmission {
  private readonly ranks: ServiceRanks;
  private view: CatalogView | undefined;
  private weights: Weights = new Map();

  constructor(private readonly options: PlaceAdmissionOptions) {
    this.ranks = new ServiceRanks(options.catalog);
    const {metrics, counter} = options;
    metrics.addCounter(
      'place_decisions',
      'Streams admitted and refused by reason and rank',
    );
    metrics.addLabelledGauge(
      'places_in_use',
      'Requests of this host at servers by service and customer',
      () =>
        counter
          .listOwn()
          .map(([service, customer, inFlight]) => [
            {service, customer},
            inFlight,
          ]),
    );
  }

  /** Returns whether this admission decides; otherwise the wait alone does. */
  isEnabled(): boolean {
    return this.options.isEnabled();
  }

  /** Counts a request as in flight; returns the function that ends it. */
  add(service: string, {account}: RelayRequest): () => void {
    return this.options.counter.add(service, account?.name ?? '');
  }

  /**
   * Returns when a caller returns whose request must wait for its customer's rate, in
   * milliseconds; callers of urgent ranks return first.
   */
  spreadRetry({request, service, waitMs, remainingMs}: PlaceRequest): number {
    const {urgencies} = this.ranks.get(service);
    return spreadRetry(
      {
        roomMs: waitMs,
        remainingMs,
        targetMs: request.route.targetMs,
        rank: countMoreUrgent(request, urgencies),
        ranks: Math.max(1, urgencies.length),
        isOverShare: false,
      },
      this.options.random,
    );
  }

  /** Returns why a stream is refused; `undefined` to send it. */
  decide(place: PlaceRequest): Problem | undefined {
    const context = this.createContext(place);
    const decision = decidePlace(context, this.options.random);
    this.options.metrics.increment('place_decisions', {
      reason: decision.reason,
      rank: String(context.rank),
    });
    if (decision.problem !== undefined) {
      this.logRefusal(place, context, decision);
    }
    return decision.problem;
  }

  private createContext(place: PlaceRequest): PlaceContext {
    const {request, service, waitMs, remainingMs} = place;
    const {route, account} = request;
    const {urgencies, shortestTargetMs} = this.ranks.get(service);
    const customer = account?.name ?? '';
    const usage = this.options.counter.listAll(service);
    const inUse = usage.reduce((sum, {inFlight}) => sum + inFlight, 0);
    const own = usage.find(entry => entry.customer === customer);
    const inFlight = (own?.inFlight ?? 0) + 1;
    const share = getPlaceShare(customer, this.getWeights(), usage);
    return {
      service,
      customer,
      waitMs,
      remainingMs,
      targetMs: route.targetMs,
      shortestTargetMs: Math.min(shortestTargetMs, route.targetMs),
      rank: countMoreUrgent(request, urgencies),
      ranks: Math.max(1, urgencies.length),
      inUse,
      places: this.countPlaces(service),
      inFlight,
      share,
    };
  }

  /**
   * Counts the places of a service that the known requests in flight are compared with.
   * While other hosts are not heard, their part of the places is left to them.
   */
  private countPlaces(service: string): number {
    let places = 0;
    for (const {slots, state} of this.options.fleet.listServers(service)) {
      places += state === FleetState.READY ? slots : 0;
    }
    const fraction = this.options.getKnownFraction();
    return places * Math.max(MIN_PLACES_FRACTION, fraction);
  }

  /**
   * Returns the weights of the customers: their rates, if all have one in tokens or all in
   * requests, since these are what operators have configured for them; otherwise equal.
   */
  private getWeights(): Weights {
    const view = this.options.catalog.getView();
    if (view === this.view) {
      return this.weights;
    }
    this.view = view;
    const accounts = view?.catalog.accounts ?? [];
    const isComparable = accounts.every(
      ({rate}) =>
        rate.perSecond > 0 && rate.inTokens === accounts[0]?.rate.inTokens,
    );
    this.weights = new Map(
      isComparable
        ? accounts.map(({name, rate}) => [name, {weight: rate.perSecond}])
        : [],
    );
    return this.weights;
  }

  private logRefusal(
    {request, service}: PlaceRequest,
    context: PlaceContext,
    {reason, limitMs, problem}: PlaceDecision,
  ): void {
    this.options.log.info('place_refused', {
      request: request.id,
      route: request.route.name,
      customer: request.account?.name,
      service,
      reason,
      ran: ExecutionStatus.NOT_EXECUTED,
      rank: context.rank,
      wait_ms: context.waitMs.toFixed(0),
      limit_ms: limitMs.toFixed(0),
      share: context.share.toFixed(SHARE_DIGITS),
      in_flight: context.inFlight,
      in_use: context.inUse,
      places: context.places.toFixed(0),
      retry_after_s: problem?.retryAfterSeconds?.toFixed(3),
    });
  }
}
