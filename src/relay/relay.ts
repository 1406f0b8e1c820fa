import {Route} from '../catalog/index.js';
import {Problem, problems, Ran} from '../errors/index.js';
import {FleetServer, FleetState} from '../fleet/index.js';
import {WatchedContent, WatchedSender} from '../quarantine/index.js';
import {AnswerSink} from './answer_sink.js';
import {RelayOptions} from './relay_options.js';
import {RelayRequest} from './relay_request.js';
import {RelayRun} from './relay_run.js';

const MS_PER_SECOND = 1000;
/** Part of a wait by which callers who come back are spread. */
const RETRY_SPREAD = 0.3;

/** Serves opaque requests: admits, chooses servers, retries and relays. */
export class Relay {
  private readonly runs = new Set<RelayRun>();

  constructor(private readonly options: RelayOptions) {
    const {metrics} = options;
    options.fleet.addListener(server => this.leave(server));
    metrics.addCounter('relocated', 'Streams moved off leaving servers');
    metrics.addCounter('relayed', 'Relayed requests by route and outcome');
    metrics.addCounter(
      'version_runs',
      'Runs by version of their server and end',
    );
    metrics.addCounter('runs_lost', 'Runs that their server broke off');
    metrics.addHistogram('relay_first_byte', 'Time to the first byte');
    metrics.addHistogram('relay_whole', 'Time to the end of an answer');
    metrics.addGauge('relay_in_flight', 'Requests relayed now', () =>
      this.countRuns(),
    );
  }

  /** Returns the requests being served. */
  countRuns(): number {
    return this.runs.size;
  }

  /**
   * Serves one request to its end.
   * @param request - What the caller asked for.
   * @param sink - Where the answer goes.
   * @param left - Aborted when the caller leaves.
   */
  async serve(
    request: RelayRequest,
    sink: AnswerSink,
    left: AbortSignal,
  ): Promise<void> {
    const caller = request.account?.name ?? '';
    const content = new WatchedContent(
      this.options,
      () => ({...request, caller}),
      new WatchedSender(this.options, {caller, route: request.route.name}),
    );
    const refusal = refuseHeld(content) ?? this.admit(request);
    if (refusal !== undefined) {
      this.logRefusal(request, refusal);
      sink.refuse(refusal);
      return;
    }
    const service = this.chooseService(request.route);
    const run = new RelayRun(this.options, {
      request,
      content,
      service,
      sink,
      left,
    });
    this.runs.add(run);
    try {
      await run.execute();
    } finally {
      this.runs.delete(run);
    }
  }

  /** Moves streams off a server that leaves; ends what ran on one that ended. */
  private leave(server: FleetServer): void {
    if (server.state === FleetState.READY) {
      return;
    }
    for (const run of this.runs) {
      if (server.state === FleetState.ENDED) {
        run.giveUpServer(server);
      } else {
        run.relocate(server);
      }
    }
  }

  private admit(request: RelayRequest): Problem | undefined {
    const {account} = request;
    if (account === undefined) {
      return undefined;
    }
    const waitMs = this.options.quota.take(account, countUnits(request));
    if (waitMs === 0) {
      return undefined;
    }
    const spreadMs = waitMs * (1 + RETRY_SPREAD * this.options.random.next());
    return problems.customerOverRate(account.name, spreadMs / MS_PER_SECOND);
  }

  private chooseService(route: Route): string {
    let sum = 0;
    for (const {weight} of route.split) {
      sum += weight;
    }
    let drawn = this.options.random.next() * sum;
    for (const {service, weight} of route.split) {
      drawn -= weight;
      if (drawn < 0) {
        return service;
      }
    }
    return route.split.at(-1)?.service ?? '';
  }

  private logRefusal(request: RelayRequest, problem: Problem): void {
    const {log, metrics, quota} = this.options;
    const {account} = request;
    metrics.increment('relayed', {
      route: request.route.name,
      outcome: problem.kind,
    });
    log.info('refused', {
      request: request.id,
      route: request.route.name,
      customer: account?.name,
      reason: problem.kind,
      ran: Ran.NO,
      units: countUnits(request),
      rate: account?.rate.perSecond,
      ...(account === undefined ? {} : quota.describe(account.name)),
      retry_after_s: problem.retryAfterSeconds?.toFixed(3),
    });
  }
}

/** Counts what a request takes of its customer's rate. */
function countUnits(request: RelayRequest): number {
  const rate = request.account?.rate;
  const {tokensIn, tokensOut} = request.prompt;
  if (rate?.inTokens !== true) {
    return 1;
  }
  return tokensIn + tokensOut || rate.plainTokens;
}

/**
 * Refuses what is kept away from servers, before it counts against its customer's
 * rate: it would end the next one, and break off all that runs there.
 */
function refuseHeld(content: WatchedContent): Problem | undefined {
  const heldMs = content.getHeldMs();
  if (heldMs > 0) {
    return problems.quarantined(content.getName(), heldMs / MS_PER_SECOND);
  }
  const senderHeldMs = content.getSenderHeldMs();
  return senderHeldMs > 0
    ? problems.senderQuarantined(senderHeldMs / MS_PER_SECOND)
    : undefined;
}
