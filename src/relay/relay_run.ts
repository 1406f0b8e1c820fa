import {Attempts} from '../attempts/index.js';
import {Repeat} from '../catalog/index.js';
import {Problem, problems} from '../errors/index.js';
import {FleetServer} from '../fleet/index.js';
import {WatchedContent} from '../quarantine/index.js';
import {RetryBudgetState} from '../retry_budget/index.js';
import {ScoredServer} from '../routing/index.js';
import {combineSignals} from '../time/index.js';
import {SlotRequest} from '../brittle/index.js';
import {AnswerRelay} from './answer_relay.js';
import {AttemptAborted, AttemptEnd} from './attempt_end.js';
import {AttemptTarget} from './attempt_params.js';
import {AttemptOutcome, AttemptResult} from './attempt_result.js';
import {createForwardTarget} from './create_forward_target.js';
import {decideByPlace} from './decide_by_place.js';
import {CopiedRun} from './relocate_run.js';
import {Forward} from './exchange.js';
import {nameStream} from './name_stream.js';
import {rankUrgency} from './rank_urgency.js';
import {Refusals} from './refusals.js';
import {RacingRun} from './racing_run.js';
import {RelayAttempt} from './relay_attempt.js';
import {RelayOptions} from './relay_options.js';
import {AttemptOrigin, RelayRecord} from './relay_record.js';
import {RelayRequest} from './relay_request.js';
import {RelayRunParams} from './relay_run_params.js';
import {RequestEnd} from './request_end.js';
import {RunObserver, ObservedResult} from './run_observer.js';
import {EndedRun, ExecuteRun, RunRace} from './run_race.js';
import {RunRelocation} from './run_relocation.js';
import {ServerChoice} from './server_choice.js';
import {createSlotRequest} from './slot_wait.js';

/** Remaining time until the deadline below which no attempt begins, in milliseconds. */
const MIN_REMAINING_MS = 5;
/**
 * Attempts beyond the route's limit, for servers that report that they did not run the
 * request.
 */
const MAX_NOT_RUN_ATTEMPTS = 3;
/** Why no run begins beside a silent one: no slot of a brittle server is free. */
const NO_SLOT = 'no-slot';
const SERVER_ERROR = 500;
const MS_PER_SECOND = 1000;
/** Created once: an error per request would cost a stack trace each. */
const DEADLINE_PASSED = new AttemptAborted(
  AttemptEnd.DEADLINE,
  'deadline passed',
);

/**
 * Serves one request by one or more attempts, one after the other, or beside each other while
 * servers are silent. In the comments here, a run is the execution of the request by a server.
 */
export class RelayRun {
  /** Aborted when the deadline passes. */
  private readonly deadline = new AbortController();
  /** Aborted when the caller disconnects or the deadline passes. */
  private readonly cancelled: AbortSignal;
  private readonly attempts: Attempts;
  private readonly record: RelayRecord;
  private readonly observer: RunObserver;
  private readonly answer: AnswerRelay;
  private readonly choice: ServerChoice;
  private readonly refusals: Refusals;
  private readonly end: RequestEnd;
  private readonly race: RunRace;
  private readonly relocation: RunRelocation;
  /** Whether another run is to begin once a slot of a brittle server is free. */
  private waitsForSlot = false;
  /** Ends the count of this request as in flight; absent until it is sent. */
  private releasePlace: (() => void) | undefined;

  private readonly request: RelayRequest;
  private readonly content: WatchedContent;
  private readonly service: string;
  private readonly disconnected: AbortSignal;

  constructor(
    private readonly options: RelayOptions,
    private readonly params: RelayRunParams,
  ) {
    const {request, service, sink, disconnected} = params;
    this.request = request;
    this.content = params.content;
    this.service = service;
    this.disconnected = disconnected;
    this.cancelled = combineSignals([disconnected, this.deadline.signal]);
    this.answer = new AnswerRelay(sink, request.lastEventId, () =>
      this.recordOrigin(),
    );
    this.record = new RelayRecord(options, request);
    this.observer = new RunObserver(options, {
      route: request.route.name,
      content: params.content,
      record: this.record,
    });
    this.refusals = new Refusals(options, service);
    this.attempts = new Attempts({
      repeat: request.route.repeat,
      maxRuns: request.route.maxAttempts,
      maxUnexecuted: MAX_NOT_RUN_ATTEMPTS,
      // The retries of a forwarded request are earned at the host that received it.
      spendRetry: () =>
        params.forwarded === undefined && options.retryBudget.spend(service),
    });
    const {attempts} = this;
    this.choice = new ServerChoice(options, {
      request,
      service,
      attempts,
      getBoundVersion: () => this.getBoundVersion(),
    });
    this.end = new RequestEnd({
      sink,
      answer: this.answer,
      attempts,
      refusals: this.refusals,
      isDeadlinePassed: () => this.deadline.signal.aborted,
    });
    this.race = new RunRace({
      onFailure: ended => this.recordFailure(ended),
      onSuperseded: ({server, wasSent}) =>
        attempts.recordSuperseded(server, wasSent),
      isFinal: result => this.isFinalResponse(result),
    });
    this.relocation = new RunRelocation(options, {
      requestId: request.id,
      attempts,
      answer: this.answer,
      choice: this.choice,
      isRunningAt: server => this.race.isAt(server.id),
      cancelled: this.cancelled,
    });
    for (const server of params.forwarded?.excluded ?? []) {
      attempts.exclude(server);
    }
  }

  /** Serves the request; resolves when it has ended. */
  async execute(): Promise<void> {
    if (this.params.forwarded === undefined) {
      // The host that forwarded a request has counted it.
      this.options.retryBudget.addRequest(this.service);
    }
    this.options.limits.addRequest(this.service, rankUrgency(this.request));
    const timer = setTimeout(
      () => this.deadline.abort(DEADLINE_PASSED),
      this.getRemainingMs(),
    );
    try {
      while (await this.makeAttempt()) {
        // Each iteration is one attempt.
      }
    } finally {
      clearTimeout(timer);
      this.releasePlace?.();
    }
    this.record.addOutcome({
      ...this.end.describe(),
      attempts: this.attempts.count(),
      framing: this.answer.getFraming(),
      restBytes: this.answer.getRestBytes(),
      versions: this.answer.listVersions(),
    });
  }

  /** Returns the version at which the stream began; absent if it begins, or is not known. */
  private getBoundVersion(): string | undefined {
    return this.params.origin?.origin?.version ?? this.answer.getVersion();
  }

  /** Records at which version the stream began, for hosts at which its caller takes it up. */
  private recordOrigin(): void {
    const {request} = this;
    const {id, startedBy, route} = request;
    const version = this.getBoundVersion();
    if (route.repeat !== Repeat.RESUME || version === undefined) {
      return;
    }
    const isSplit = route.split.length > 1;
    const origin = {service: this.service, version};
    for (const name of startedBy === undefined ? [id] : [id, startedBy]) {
      const stream = nameStream(request, name);
      this.options.streamVersions.begin(stream, origin, isSplit);
    }
  }

  /**
   * Relocates the run from a server that is leaving, if it is there and the request may
   * not be run a second time: a stream of such a request can continue only from a copy of
   * the run's KV cache.
   */
  relocate(server: FleetServer): void {
    const {streaming, repeat} = this.request.route;
    const isPositionKnown = this.answer.getLastEventId() !== '';
    if (
      this.race.isAt(server.id) &&
      streaming &&
      repeat === Repeat.ONCE &&
      isPositionKnown
    ) {
      this.relocation.begin(server);
    }
  }

  /**
   * Aborts the attempt at this incarnation of a server, and discards the copy of the run if it
   * is there. Called after a later incarnation of the server has registered: everything that
   * ran at this one is lost.
   */
  abortAttemptAt(server: FleetServer): void {
    this.relocation.discardAt(server);
    this.race.abortAt(server);
  }

  /**
   * Forwards the request after this host has lost its connections to the servers of a service.
   * A run that was sent goes on until the answer by way of another host begins.
   */
  reroute(service: string): void {
    if (service !== this.service) {
      return;
    }
    this.race.reroute();
    if (!this.options.reachability.trustsOpenConnections(service)) {
      this.runBeside();
    }
  }

  /** Makes one attempt; returns whether another one follows. */
  private async makeAttempt(): Promise<boolean> {
    if (this.endIfOver()) {
      return false;
    }
    const blockedMs = this.observer.getBlockedMs(this.answer.hasBegun());
    if (blockedMs > 0) {
      this.end.addDetail('quarantined');
      const seconds = blockedMs / MS_PER_SECOND;
      return this.end.fail(
        problems.quarantined(this.content.findBlocked(), seconds),
      );
    }
    if (!this.attempts.begin()) {
      return this.failWithoutRetry();
    }
    const copiedRun = this.relocation.getCopiedRun();
    if (copiedRun === undefined && !this.attempts.mayRunAnew()) {
      this.end.addDetail('its copy is lost');
      return this.end.fail();
    }
    let decision = this.choice.choose();
    while (
      decision.isFull &&
      copiedRun === undefined &&
      (await this.waitForSlot())
    ) {
      decision = this.choice.choose(true);
    }
    if (decision.isFull && this.endIfOver()) {
      return false;
    }
    this.record.logDecision(decision, this.createAttemptOrigin());
    if (decision.isUnreachable && copiedRun === undefined) {
      return this.forward(this.refusals.createUnreachable());
    }
    if (decision.isFull && copiedRun === undefined) {
      return this.forward(
        this.refusals.createBrittle(this.createSlotRequest()),
      );
    }
    const server = copiedRun?.server ?? this.choice.getServer(decision);
    if (server === undefined) {
      return this.end.failWithoutServer(decision, this.getBoundVersion());
    }
    const refusal = this.checkPredictedWait(decision.chosen);
    if (refusal !== undefined) {
      this.end.refuse(refusal);
      return false;
    }
    this.releasePlace ??= this.options.placeAdmission?.add(
      this.service,
      this.request,
    );
    // `chooseDestination` has taken the permit for a copied run.
    if (copiedRun === undefined) {
      this.options.limits.takePermit(server.id);
    }
    const last = await this.race.begin(
      server.id,
      this.createRun(server, decision.chosen, copiedRun),
    );
    if (last.result.outcome === AttemptOutcome.DONE) {
      return false;
    }
    // The connection of a stopped run may close before the reply to the copy request
    // arrives, so wait for the relocation to finish.
    await this.relocation.wait();
    const newCopy = this.relocation.getCopiedRun();
    if (newCopy !== undefined && newCopy !== copiedRun) {
      this.end.setFailure(last.result.detail);
      this.attempts.recordStopped(last.server);
      return true;
    }
    return this.handleFailure(last);
  }

  /**
   * Begins another run beside those in progress, whose servers are silent, if a server can go on
   * with the request. Until it does, they are kept.
   * @param hasSlot - Whether the request has waited for a slot of a brittle server.
   * @returns Whether a run began.
   */
  private runBeside(hasSlot = false): boolean {
    const servers = this.race.listServers();
    if (!this.race.areAllSilent() || this.isOver()) {
      return false;
    }
    const obstacle = this.tryRunBeside(servers, hasSlot);
    if (obstacle === undefined) {
      return true;
    }
    const afterEvent = this.answer.getLastEventId();
    this.record.logKeptRun({servers, afterEvent, obstacle});
    if (obstacle === NO_SLOT) {
      void this.waitToRunBeside();
    }
    return false;
  }

  /** Waits for a slot of a brittle server, and begins another run if it is still needed. */
  private async waitToRunBeside(): Promise<void> {
    if (this.waitsForSlot) {
      return;
    }
    this.waitsForSlot = true;
    const isNext = await this.waitForSlot();
    this.waitsForSlot = false;
    if (isNext && !this.runBeside(true)) {
      this.options.brittle.passOn(this.service);
    }
  }

  /** Returns why no run could begin beside those at the given servers; absent if one did. */
  private tryRunBeside(
    servers: readonly string[],
    hasSlot: boolean,
  ): string | undefined {
    if (
      !this.attempts.mayTryAnother(this.race.count()) ||
      !this.canContinue()
    ) {
      return 'attempts-used';
    }
    if (this.observer.getBlockedMs(this.answer.hasBegun()) > 0) {
      return 'quarantined';
    }
    for (const server of servers) {
      this.attempts.exclude(server);
    }
    const decision = this.choice.chooseBeside(hasSlot);
    const server = this.choice.getServer(decision);
    const forward =
      decision.isUnreachable && this.mayForward()
        ? this.options.forward
        : undefined;
    if (server === undefined && forward === undefined) {
      return decision.isFull ? NO_SLOT : 'no-server';
    }
    if (!this.attempts.begin()) {
      return 'retry-budget';
    }
    this.record.logDecision(decision, {
      ...this.createAttemptOrigin(),
      beside: servers,
    });
    if (server !== undefined) {
      this.options.limits.takePermit(server.id);
      const run = this.createRun(server, decision.chosen);
      this.race.beginBeside(server.id, run);
    } else if (forward !== undefined) {
      const refusal = this.refusals.createUnreachable();
      this.race.beginBeside('', this.createForwardedRun(forward, refusal));
    }
    return undefined;
  }

  private createAttemptOrigin(): AttemptOrigin {
    return {
      attempt: this.attempts.count() - 1,
      resumeAfter: this.answer.getLastEventId(),
      boundVersion: this.getBoundVersion(),
      boundBy: this.params.origin?.source,
      budget: this.attempts.count() > 1 ? this.getBudget() : undefined,
    };
  }

  /** Ends the request because it may not be sent again. Returns `false`. */
  private failWithoutRetry(): false {
    const {forwarded} = this.params;
    if (forwarded === undefined) {
      this.record.logRetryDenied(this.service, this.getBudget());
      this.end.addDetail('retry budget exhausted');
    } else if (!this.attempts.mayHaveRun()) {
      forwarded.onRejected();
      this.end.addDetail('left to the host that forwarded it');
    }
    return this.end.fail();
  }

  private getBudget(): RetryBudgetState {
    return this.options.retryBudget.getState(this.service);
  }

  /** Creates a run at a server. */
  private createRun(
    server: FleetServer,
    chosen: ScoredServer | undefined,
    copiedRun?: CopiedRun,
  ): ExecuteRun {
    return run =>
      this.observer.run(server, () =>
        this.executeAttempt(run, server, chosen, copiedRun),
      );
  }

  private async executeAttempt(
    run: RacingRun,
    server: FleetServer,
    chosen: ScoredServer | undefined,
    copiedRun: CopiedRun | undefined,
  ): Promise<ObservedResult> {
    this.relocation.beginAttempt();
    this.params.forwarded?.onServer(server);
    const result = await this.send(run, {
      server,
      // A copied run may continue though no server can be chosen for other requests.
      predictedMs: chosen?.firstTokenMs ?? 0,
      // The time of a copied run does not depend on its prompt.
      ...(chosen?.features === undefined || copiedRun !== undefined
        ? {}
        : {features: chosen.features}),
      ...(copiedRun === undefined ? {} : {copy: copiedRun.copy}),
    });
    run.hasEnded = true;
    this.options.brittle.release(this.service, result.wholeMs);
    return {...result, serverTerminated: run.serverLost.aborted};
  }

  /** Makes the attempt of a run. */
  private send(run: RacingRun, target: AttemptTarget): Promise<AttemptResult> {
    const {request, answer, record, cancelled} = this;
    const attempt = new RelayAttempt(
      this.options,
      {
        request,
        answer,
        record,
        cancelled,
        run,
        mayBeStopped: () => this.relocation.mayBeStopped(),
      },
      {
        ...target,
        number: this.attempts.count() - 1,
        urgency: rankUrgency(request),
        excluded: this.attempts.excluded,
        isProbe: this.race.count() > 1,
        // Others in progress may turn out not to have run.
        ...(this.attempts.mayTryAnother(1)
          ? {onSilent: () => this.runBeside()}
          : {}),
      },
    );
    run.reroute = () => attempt.reroute();
    return attempt.execute();
  }

  /** Waits until a slot of a brittle server is free; returns whether it may be one. */
  private waitForSlot(): Promise<boolean> {
    return this.options.brittle.waitForSlot(
      this.createSlotRequest(),
      this.cancelled,
    );
  }

  private createSlotRequest(): SlotRequest {
    return createSlotRequest(this.options, {
      request: this.request,
      service: this.service,
      mayForward: this.mayForward(),
      remainingMs: this.getRemainingMs(),
    });
  }

  private mayForward(): boolean {
    return (
      this.options.forward !== undefined && this.params.forwarded === undefined
    );
  }

  /**
   * Makes an attempt by way of another host, since this one reaches no server of the
   * service, or has no free slot at one; returns whether another attempt follows.
   * @param refusal - Reason to refuse the request if no other host takes it.
   */
  private async forward(refusal: Problem): Promise<boolean> {
    const {forward} = this.options;
    if (forward === undefined || !this.mayForward()) {
      this.end.addDetail('not forwarded again');
      return this.end.fail(refusal);
    }
    const run = this.createForwardedRun(forward, refusal);
    const last = await this.race.begin('', run);
    return last.result.outcome === AttemptOutcome.DONE
      ? false
      : this.handleFailure(last);
  }

  /**
   * Creates a run at a server that another host chooses.
   * @param refusal - Reason to refuse the request if no other host takes it.
   */
  private createForwardedRun(forward: Forward, refusal: Problem): ExecuteRun {
    return run =>
      this.send(run, {
        server: createForwardTarget(this.service),
        // The other host predicts the time; the target bounds the wait for it.
        predictedMs: this.request.route.targetMs,
        ...this.createBinding(),
        forward: (params, signal) => forward({...params, refusal}, signal),
      });
  }

  private createBinding(): {readonly boundVersion?: string} {
    const boundVersion = this.getBoundVersion();
    return boundVersion === undefined ? {} : {boundVersion};
  }

  /**
   * Handles an attempt after which the answer is not complete, or which got an error
   * response; returns whether another one follows.
   */
  private handleFailure(ended: EndedRun): boolean {
    const {result} = ended;
    if (result.refusal !== undefined) {
      this.end.setFailure(result.detail);
      return this.endIfOver() ? false : this.end.fail(result.refusal);
    }
    const mayHaveRun = result.outcome !== AttemptOutcome.NOT_RUN;
    const mayRetry = this.recordFailure(ended);
    if (this.endIfOver()) {
      return false;
    }
    if (
      this.isFinalResponse(result) ||
      !mayRetry ||
      (mayHaveRun && !this.canContinue())
    ) {
      return this.end.fail();
    }
    return true;
  }

  /** Records a run that has failed; returns whether another server may be tried. */
  private recordFailure({server, result}: EndedRun): boolean {
    this.end.setFailure(result.detail, result.failure);
    const mayHaveRun = result.outcome !== AttemptOutcome.NOT_RUN;
    return this.attempts.recordFailure(server, mayHaveRun, result.wasSent);
  }

  /**
   * Tells whether a response below 500 is relayed to the caller, since no answer was begun, and
   * the request is not retried.
   */
  private isFinalResponse({failure}: AttemptResult): boolean {
    return (
      failure !== undefined &&
      failure.status < SERVER_ERROR &&
      !this.answer.hasBegun()
    );
  }

  /**
   * Tells whether another server may continue the request: if no part of an answer was
   * relayed, it starts over; a resumable stream continues after the last event relayed.
   */
  private canContinue(): boolean {
    if (!this.answer.hasBegun()) {
      return true;
    }
    const {repeat} = this.request.route;
    const after = this.answer.getLastEventId();
    // An event with an empty id resets the id, so that the position is not known.
    const isPositionKnown = after !== undefined && after !== '';
    return (
      repeat === Repeat.RESUME &&
      isPositionKnown &&
      this.getBoundVersion() !== undefined
    );
  }

  /**
   * Ends the request if its caller has disconnected, or its deadline has passed or is
   * less than `MIN_REMAINING_MS` away; returns whether it has ended.
   */
  private endIfOver(): boolean {
    if (!this.isOver()) {
      return false;
    }
    if (this.disconnected.aborted) {
      this.end.endDisconnected();
    } else {
      this.end.addDetail('deadline passed');
      this.end.fail();
    }
    return true;
  }

  private isOver(): boolean {
    return this.cancelled.aborted || this.getRemainingMs() < MIN_REMAINING_MS;
  }

  /** Returns the reason to refuse a new stream before its first attempt; `undefined` to send it. */
  private checkPredictedWait(
    chosen: ScoredServer | undefined,
  ): Problem | undefined {
    const {answer, attempts, options, relocation, request, service} = this;
    const isFirstAttempt =
      attempts.count() === 1 && relocation.getCopiedRun() === undefined;
    const isResumed = answer.getLastEventId() !== undefined;
    if (!request.route.streaming || !isFirstAttempt || isResumed) {
      return undefined;
    }
    const waitMs = chosen?.waitMs ?? 0;
    const remainingMs = this.getRemainingMs();
    return decideByPlace(options, {request, service, waitMs, remainingMs});
  }

  private getRemainingMs(): number {
    return this.request.deadlineMs - this.options.clock.monotonicMs();
  }
}
