import {Route} from '../catalog/index.js';
import {Problem, problems, ExecutionStatus} from '../errors/index.js';
import {FleetServer, FleetState} from '../fleet/index.js';
import {
  WatchedContent,
  WatchedParts,
  WatchedSender,
} from '../quarantine/index.js';
import {FoundOrigin, OriginSource} from '../stream_versions/index.js';
import {AnswerSink} from './answer_sink.js';
import {nameStream} from './name_stream.js';
import {PlaceAdmission} from './place_admission.js';
import {RelayOptions} from './relay_options.js';
import {RelayRequest} from './relay_request.js';
import {RelayRun} from './relay_run.js';
import {ForwardedAttempts, RelayRunParams} from './relay_run_params.js';

const MS_PER_SECOND = 1000;
/**
 * Largest random addition to a retry delay, as a share of it, so that refused callers
 * do not all retry at once.
 */
const RETRY_JITTER = 0.3;
/**
 * Shortest retry delay of a stream whose origin no host knows, in seconds. A random addition at
 * most doubles it. The caller then meets another host, which may reach one that knows.
 */
const ORIGIN_RETRY_S = 0.25;

/** Serves opaque requests: admission, server choice, retries and relaying. */
export class Relay {
  private readonly runs = new Set<RelayRun>();

  constructor(private readonly options: RelayOptions) {
    const {metrics} = options;
    options.fleet.addListener(server => this.handleServerChange(server));
    options.reachability.addListener((service, isReachable) =>
      this.handleReachability(service, isReachable),
    );
    metrics.addCounter(
      'incomplete_answers',
      'Answers that servers broke off, by reason and by how their end was marked',
    );
    metrics.addCounter(
      'attempts_failed',
      'Attempts without a complete answer, by what ended them',
    );
    metrics.addCounter(
      'silent_runs',
      'Runs of silent servers: resumed, replaced, or why none began beside them',
    );
    metrics.addCounter(
      'unusable_event_ids',
      'Events with an id after which no server can continue their stream',
    );
    metrics.addCounter('relocated', 'Streams moved off leaving servers');
    metrics.addCounter(
      'relocations_denied',
      'Streams left at leaving servers, since the retry budget was used up',
    );
    metrics.addCounter('relayed', 'Relayed requests by route and outcome');
    metrics.addCounter(
      'answers',
      'Answers of servers, by how their end was marked and by outcome',
    );
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

  /** Returns the number of requests being served. */
  countRuns(): number {
    return this.runs.size;
  }

  /**
   * Serves one request; resolves when it has been answered, refused or broken off.
   * @param request - The request of a caller.
   * @param sink - Receives the answer.
   * @param disconnected - Aborted when the caller disconnects.
   */
  async serve(
    request: RelayRequest,
    sink: AnswerSink,
    disconnected: AbortSignal,
  ): Promise<void> {
    const drawn = this.chooseService(request.route);
    const content = this.createContent(request, drawn);
    let refusal = refuseQuarantined(content);
    let origin: FoundOrigin | undefined;
    if (refusal === undefined && isContinuation(request)) {
      origin = await this.options.streamVersions.find(
        request.startedBy && nameStream(request, request.startedBy),
        drawn,
      );
      refusal = this.checkOrigin(request, origin);
    }
    refusal ??= this.admit(request);
    if (refusal !== undefined) {
      this.logRefusal(request, refusal, origin);
      sink.refuse(refusal);
      return;
    }
    const service = origin?.origin?.service ?? drawn;
    await this.execute({
      request,
      content:
        service === drawn ? content : this.createContent(request, service),
      service,
      sink,
      disconnected,
      ...(origin === undefined ? {} : {origin}),
    });
  }

  /**
   * Serves a request that another host has admitted and forwarded, since it does not reach
   * the servers of the service. It is not forwarded again.
   * @param request - The request; `forwardedBy` names the other host.
   * @param service - Service that the other host selected.
   * @param sink - Receives the answer.
   * @param disconnected - Aborted when the other host cancels the request.
   * @param attempts - Limits of the attempts.
   */
  async serveForwarded(
    request: RelayRequest,
    service: string,
    sink: AnswerSink,
    disconnected: AbortSignal,
    attempts: ForwardedAttempts,
  ): Promise<void> {
    const content = this.createContent(request, service);
    const params = {request, content, service, sink, disconnected};
    const version = attempts.boundVersion;
    await this.execute({
      ...params,
      forwarded: attempts,
      ...(version === undefined
        ? {}
        : {origin: {source: OriginSource.KNOWN, origin: {service, version}}}),
    });
  }

  private async execute(params: RelayRunParams): Promise<void> {
    const run = new RelayRun(this.options, params);
    this.runs.add(run);
    try {
      await run.execute();
    } finally {
      this.runs.delete(run);
    }
  }

  private createContent(
    request: RelayRequest,
    service: string,
  ): WatchedContent {
    const caller = request.account?.name ?? '';
    return new WatchedContent(
      this.options,
      () => ({...request, caller}),
      new WatchedSender(this.options, {caller, route: request.route.name}),
      new WatchedParts(this.options.quarantine, service, request.prompt.parts),
    );
  }

  /** Forwards requests whose servers have become unreachable from this host. */
  private handleReachability(service: string, isReachable: boolean): void {
    this.options.fleet.forgetFailures(service);
    if (isReachable) {
      return;
    }
    for (const run of this.runs) {
      run.reroute(service);
    }
  }

  /**
   * Relocates streams from a server that leaves, and aborts the attempts at an
   * incarnation that a later one has replaced.
   */
  private handleServerChange(server: FleetServer): void {
    if (server.state === FleetState.READY) {
      return;
    }
    for (const run of this.runs) {
      if (server.state === FleetState.TERMINATED) {
        run.abortAttemptAt(server);
      } else {
        run.relocate(server);
      }
    }
  }

  /** Refuses a stream that cannot go on at the service and version that began it. */
  private checkOrigin(
    {route}: RelayRequest,
    {origin}: FoundOrigin,
  ): Problem | undefined {
    const retryS = ORIGIN_RETRY_S * (1 + this.options.random.next());
    if (origin === undefined) {
      return problems.streamOriginUnknown(retryS);
    }
    const {service} = origin;
    return route.split.some(target => target.service === service)
      ? undefined
      : problems.streamVersionUnavailable(service, retryS);
  }

  private admit(request: RelayRequest): Problem | undefined {
    const {account} = request;
    if (account === undefined) {
      return undefined;
    }
    const {quota, random, placeAdmission} = this.options;
    const {urgency} = request.route;
    const waitMs = quota.take(account, countUnits(request), urgency);
    if (waitMs === 0) {
      return undefined;
    }
    const jitteredMs = waitMs * (1 + RETRY_JITTER * random.next());
    const retryMs =
      placeAdmission?.isEnabled() === true
        ? Math.max(
            jitteredMs,
            this.spreadRetry(placeAdmission, request, waitMs),
          )
        : jitteredMs;
    return problems.customerOverRate(account.name, retryMs / MS_PER_SECOND);
  }

  private spreadRetry(
    placeAdmission: PlaceAdmission,
    request: RelayRequest,
    waitMs: number,
  ): number {
    const remainingMs = request.deadlineMs - this.options.clock.monotonicMs();
    const service = request.route.split[0]?.service ?? '';
    const place = {request, service, waitMs, remainingMs};
    return placeAdmission.spreadRetry(place);
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

  private logRefusal(
    request: RelayRequest,
    problem: Problem,
    origin: FoundOrigin | undefined,
  ): void {
    const {log, metrics, quota} = this.options;
    const {account} = request;
    const {urgency} = request.route;
    metrics.increment('relayed', {
      route: request.route.name,
      outcome: problem.kind,
    });
    log.info('refused', {
      request: request.id,
      route: request.route.name,
      rank: urgency,
      customer: account?.name,
      reason: problem.kind,
      started_by: request.startedBy,
      bound_by: origin?.source,
      bound_version: origin?.origin?.version,
      ran: ExecutionStatus.NOT_EXECUTED,
      units: countUnits(request),
      rate: account?.rate.perSecond,
      ...(account === undefined ? {} : quota.describe(account.name, urgency)),
      retry_after_s: problem.retryAfterSeconds?.toFixed(3),
    });
  }
}

/** Returns whether a caller takes up a stream whose first events it already has. */
function isContinuation({lastEventId, route}: RelayRequest): boolean {
  return lastEventId !== undefined && route.streaming;
}

/**
 * Returns the units that a request uses of its customer's rate: tokens or requests, as
 * the rate is defined.
 */
function countUnits(request: RelayRequest): number {
  const rate = request.account?.rate;
  const {tokensIn, tokensOut} = request.prompt;
  if (rate?.inTokens !== true) {
    return 1;
  }
  return tokensIn + tokensOut || rate.plainTokens;
}

/**
 * Refuses a quarantined request or sender, before the request counts against its
 * customer's rate. Sent on, it would terminate the next server as well, and
 * everything that runs there would be lost.
 */
function refuseQuarantined(content: WatchedContent): Problem | undefined {
  const blockedMs = content.getRemainingBlockMs();
  if (blockedMs > 0) {
    const seconds = blockedMs / MS_PER_SECOND;
    return problems.quarantined(content.findBlocked(), seconds);
  }
  const senderBlockedMs = content.getSenderRemainingBlockMs();
  return senderBlockedMs > 0
    ? problems.senderQuarantined(senderBlockedMs / MS_PER_SECOND)
    : undefined;
}
