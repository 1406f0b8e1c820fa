import {Result} from 'true-myth';
import {decideByWait} from '../admission/index.js';
import {Attempts} from '../attempts/index.js';
import {Repeat} from '../catalog/index.js';
import {Problem, problems, ExecutionStatus} from '../errors/index.js';
import {FleetServer} from '../fleet/index.js';
import {WatchedContent} from '../quarantine/index.js';
import {RetryBudgetState} from '../retry_budget/index.js';
import {ScoredServer} from '../routing/index.js';
import {FoundOrigin} from '../stream_versions/index.js';
import {combineSignals} from '../time/index.js';
import {SlotRequest} from '../brittle/index.js';
import {AnswerRelay} from './answer_relay.js';
import {AnswerSink} from './answer_sink.js';
import {AttemptAborted, AttemptEnd} from './attempt_end.js';
import {BufferedAnswer} from './buffered_answer.js';
import {CopyFailure} from './copy_run.js';
import {createForwardTarget} from './create_forward_target.js';
import {CopiedRun, relocateRun} from './relocate_run.js';
import {nameStream} from './name_stream.js';
import {rankUrgency} from './rank_urgency.js';
import {Refusals} from './refusals.js';
import {AttemptOutcome, AttemptResult, RelayAttempt} from './relay_attempt.js';
import {RelayOptions} from './relay_options.js';
import {RelayRecord} from './relay_record.js';
import {RelayRequest} from './relay_request.js';
import {RunObserver, ObservedResult} from './run_observer.js';
import {LimitAwareDecision, ServerChoice} from './server_choice.js';
import {createSlotRequest} from './slot_wait.js';

/** Remaining time until the deadline below which no attempt begins, in milliseconds. */
const MIN_REMAINING_MS = 5;
/**
 * Attempts beyond the route's limit, for servers that report that they did not run the
 * request.
 */
const MAX_NOT_RUN_ATTEMPTS = 3;
const SERVER_ERROR = 500;
const MS_PER_SECOND = 1000;
/** Created once: an error per request would cost a stack trace each. */
const DEADLINE_PASSED = new AttemptAborted(
  AttemptEnd.DEADLINE,
  'deadline passed',
);
const SERVER_TERMINATED = new AttemptAborted(
  AttemptEnd.SERVER_TERMINATED,
  'the server has terminated',
);

/** Limits of the attempts at a request that another host has forwarded. */
export interface ForwardedAttempts {
  /** Ids of the servers that must not get the request again. */
  readonly excluded: readonly string[];
  /** Called with each server that the request is sent to. */
  readonly onServer: (server: Pick<FleetServer, 'id' | 'version'>) => void;
  /**
   * Called if a server has rejected the request, and another one may get it with a retry
   * from the budget of the host that has received it from its caller.
   */
  readonly onRejected: () => void;
  /** Version at which a stream that goes on began; absent if the stream begins. */
  readonly boundVersion?: string;
}

/** Parameters of a `RelayRun`. */
export interface RelayRunParams {
  readonly request: RelayRequest;
  readonly content: WatchedContent;
  /** Service that was selected from the route's weighted services. */
  readonly service: string;
  /** Receives the answer. */
  readonly sink: AnswerSink;
  /** Aborted when the caller disconnects. */
  readonly disconnected: AbortSignal;
  /** Present if another host has forwarded the request. */
  readonly forwarded?: ForwardedAttempts;
  /** Where a stream that the caller takes up, or another host forwards, began. */
  readonly origin?: FoundOrigin;
}

/**
 * Serves one request by one or more attempts, one after the other. In the comments here,
 * a run is the execution of the request by a server.
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
  /** Last error response of a server, relayed if no later attempt succeeds. */
  private errorResponse: BufferedAnswer | undefined;
  private outcome = 'answered';
  private failureDetail = '';
  /** Server of the current attempt. */
  private server: FleetServer | undefined;
  private currentAttempt: RelayAttempt | undefined;
  /** Aborts the current attempt when its server has terminated. */
  private serverLost = new AbortController();
  private relocation: Promise<void> | undefined;
  /** Result of stopping the run of the current attempt; absent if it goes on. */
  private stopping: Promise<Result<string, CopyFailure>> | undefined;
  /** Ends the count of this request as in flight; absent until it is sent. */
  private releasePlace: (() => void) | undefined;
  /** Server where the run continues, and the copy of its KV cache there. */
  private copiedRun: CopiedRun | undefined;

  private readonly request: RelayRequest;
  private readonly content: WatchedContent;
  private readonly service: string;
  private readonly sink: AnswerSink;
  private readonly disconnected: AbortSignal;

  constructor(
    private readonly options: RelayOptions,
    private readonly params: RelayRunParams,
  ) {
    const {request, service, sink, disconnected} = params;
    this.request = request;
    this.content = params.content;
    this.service = service;
    this.sink = sink;
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
      outcome: this.outcome,
      attempts: this.attempts.count(),
      framing: this.answer.getFraming(),
      restBytes: this.answer.getRestBytes(),
      versions: this.answer.listVersions(),
      detail: this.outcome === 'answered' ? '' : this.failureDetail,
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
    if (this.server?.id === server.id && streaming && repeat === Repeat.ONCE) {
      this.relocation ??= this.relocateFrom(server).finally(() => {
        this.relocation = undefined;
      });
    }
  }

  /**
   * Aborts the current attempt if it is at this incarnation of a server, and discards the
   * copy of the run if it is there. Called after a later incarnation of the server has
   * registered: everything that ran at this one is lost.
   */
  abortAttemptAt(server: FleetServer): void {
    if (this.copiedRun?.server.id === server.id) {
      this.copiedRun = undefined;
    }
    if (this.server?.id === server.id) {
      this.serverLost.abort(SERVER_TERMINATED);
    }
  }

  /**
   * Aborts the current attempt, if it may be repeated, after this host has lost its
   * connections to the servers of a service; the next attempt is forwarded.
   */
  reroute(service: string): void {
    if (service === this.service) {
      const {reachability} = this.options;
      const usesOpen = reachability.trustsOpenConnections(service);
      this.currentAttempt?.reroute(!usesOpen && this.canContinue());
    }
  }

  private async relocateFrom(from: FleetServer): Promise<void> {
    this.copiedRun =
      (await relocateRun(this.options, from, {
        requestId: this.request.id,
        isAtSource: () => this.isRunningOn(from),
        isDestinationReady: server => this.isReady(server),
        chooseDestination: () => this.chooseDestination(from),
        onStop: result => {
          this.stopping = result;
        },
        cancelled: this.cancelled,
      })) ?? this.copiedRun;
    const {copiedRun} = this;
    // Without a new copy, it is absent, or one from another server made before.
    if (copiedRun?.copy.source !== from.address) {
      return;
    }
    this.options.metrics.increment('relocated');
    this.options.log.info('relocated', {
      request: this.request.id,
      server: from.id,
      to: copiedRun.server.id,
      after_event: this.answer.getLastEventId(),
    });
  }

  private isReady({id}: FleetServer): boolean {
    const {backoffs, fleet} = this.options;
    return fleet.isReady(id) && !backoffs.isActive(id);
  }

  /** Tells whether the server of the current attempt may have stopped the run. */
  private async mayBeStopped(): Promise<boolean> {
    const result = await this.stopping;
    const hadEnded = result?.isErr && result.error === CopyFailure.NO_RUN;
    return result !== undefined && hadEnded !== true;
  }

  private isRunningOn(server: FleetServer): boolean {
    return this.server?.id === server.id && !this.cancelled.aborted;
  }

  /**
   * Chooses the server where the run is to continue, and takes one of its permits. Also
   * excludes the server that the run leaves from further attempts.
   */
  private chooseDestination(from: FleetServer): FleetServer | undefined {
    this.attempts.exclude(from.id);
    const destination = this.choice.getServer(
      this.choice.chooseSameVersion(from),
    );
    if (destination !== undefined) {
      this.options.limits.takePermit(destination.id);
    }
    return destination;
  }

  /** Makes one attempt; returns whether another one follows. */
  private async makeAttempt(): Promise<boolean> {
    if (this.endIfOver()) {
      return false;
    }
    const blockedMs = this.observer.getBlockedMs(this.answer.hasBegun());
    if (blockedMs > 0) {
      this.addDetail('quarantined');
      const seconds = blockedMs / MS_PER_SECOND;
      return this.fail(
        problems.quarantined(this.content.findBlocked(), seconds),
      );
    }
    if (!this.attempts.begin()) {
      return this.failWithoutRetry();
    }
    const {copiedRun} = this;
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
    this.record.logDecision(decision, {
      attempt: this.attempts.count() - 1,
      resumeAfter: this.answer.getLastEventId(),
      boundVersion: this.getBoundVersion(),
      boundBy: this.params.origin?.source,
      budget: this.attempts.count() > 1 ? this.getBudget() : undefined,
    });
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
      return this.failWithoutServer(decision);
    }
    const refusal = this.checkPredictedWait(decision.chosen);
    if (refusal !== undefined) {
      this.outcome = refusal.kind;
      this.sink.refuse(refusal);
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
    const result = await this.observer.run(server, () =>
      this.executeAttempt(server, decision.chosen, copiedRun),
    );
    if (result.outcome === AttemptOutcome.DONE) {
      return false;
    }
    // The connection of a stopped run may close before the reply to the copy request
    // arrives, so wait for the relocation to finish.
    await this.relocation;
    if (this.copiedRun !== undefined && this.copiedRun !== copiedRun) {
      return true;
    }
    return this.handleFailure(server.id, result);
  }

  /** Ends the request because it may not be sent again. Returns `false`. */
  private failWithoutRetry(): false {
    const {forwarded} = this.params;
    if (forwarded === undefined) {
      this.record.logRetryDenied(this.service, this.getBudget());
      this.addDetail('retry budget exhausted');
    } else {
      forwarded.onRejected();
      this.addDetail('left to the host that forwarded it');
    }
    return this.fail();
  }

  private getBudget(): RetryBudgetState {
    return this.options.retryBudget.getState(this.service);
  }

  private async executeAttempt(
    server: FleetServer,
    chosen: ScoredServer | undefined,
    copiedRun: CopiedRun | undefined,
  ): Promise<ObservedResult> {
    const {request, answer, record, cancelled} = this;
    this.server = server;
    this.stopping = undefined;
    this.params.forwarded?.onServer(server);
    this.serverLost = new AbortController();
    const serverLost = this.serverLost.signal;
    const attempt = new RelayAttempt(
      this.options,
      {
        request,
        answer,
        record,
        cancelled,
        serverLost,
        mayBeStopped: () => this.mayBeStopped(),
      },
      {
        server,
        // A copied run may continue though no server can be chosen for other requests.
        predictedMs: chosen?.firstTokenMs ?? 0,
        // The time of a copied run does not depend on its prompt.
        ...(chosen?.features === undefined || copiedRun !== undefined
          ? {}
          : {features: chosen.features}),
        number: this.attempts.count() - 1,
        urgency: rankUrgency(request),
        mayRetry: this.attempts.mayRetryAfterFailure(),
        excluded: this.attempts.excluded,
        ...(copiedRun === undefined ? {} : {copy: copiedRun.copy}),
      },
    );
    this.currentAttempt = attempt;
    const result = await attempt.execute();
    this.currentAttempt = undefined;
    this.options.brittle.release(this.service, result.wholeMs);
    this.server = undefined;
    return {...result, serverTerminated: serverLost.aborted};
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
    const {request, answer, record, cancelled, service} = this;
    const {forward} = this.options;
    if (forward === undefined || !this.mayForward()) {
      this.addDetail('not forwarded again');
      return this.fail(refusal);
    }
    const attempt = new RelayAttempt(
      this.options,
      {
        request,
        answer,
        record,
        cancelled,
        serverLost: new AbortController().signal,
        mayBeStopped: async () => false,
      },
      {
        server: createForwardTarget(service),
        // The other host predicts the time; the target bounds the wait for it.
        predictedMs: request.route.targetMs,
        number: this.attempts.count() - 1,
        urgency: rankUrgency(request),
        mayRetry: this.attempts.mayRetryAfterFailure(),
        excluded: this.attempts.excluded,
        ...this.createBinding(),
        forward: (params, signal) => forward({...params, refusal}, signal),
      },
    );
    const result = await attempt.execute();
    if (result.outcome === AttemptOutcome.DONE) {
      return false;
    }
    if (result.refusal !== undefined) {
      this.failureDetail = result.detail;
      return this.endIfOver() ? false : this.fail(result.refusal);
    }
    return this.handleFailure(result.forwardedTo ?? '', result);
  }

  private createBinding(): {readonly boundVersion?: string} {
    const boundVersion = this.getBoundVersion();
    return boundVersion === undefined ? {} : {boundVersion};
  }

  /**
   * Handles an attempt after which the answer is not complete, or which got an error
   * response; returns whether another one follows.
   */
  private handleFailure(server: string, result: AttemptResult): boolean {
    this.failureDetail = result.detail;
    this.errorResponse = result.failure ?? this.errorResponse;
    const mayHaveRun = result.outcome !== AttemptOutcome.NOT_RUN;
    const mayRetry = this.attempts.recordFailure(
      server,
      mayHaveRun,
      result.wasSent,
    );
    if (this.endIfOver()) {
      return false;
    }
    // If no answer was begun, a response below 500 is relayed to the caller, not retried.
    const isFinalResponse =
      result.failure !== undefined &&
      result.failure.status < SERVER_ERROR &&
      !this.answer.hasBegun();
    if (isFinalResponse || !mayRetry || (mayHaveRun && !this.canContinue())) {
      return this.fail();
    }
    return true;
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
    if (this.disconnected.aborted) {
      this.outcome = 'caller-left';
      this.sink.disconnect();
      return true;
    }
    if (
      this.deadline.signal.aborted ||
      this.getRemainingMs() < MIN_REMAINING_MS
    ) {
      this.addDetail('deadline passed');
      this.fail();
      return true;
    }
    return false;
  }

  /**
   * Ends the request without a complete answer. An answer that was begun is broken off.
   * Otherwise the last error response of a server is relayed, or if there is none, the
   * request is refused.
   * @param refusal - Reason to refuse the request if no server may have run it; if absent,
   *   the reason is lack of capacity.
   * @returns Always `false`: no attempt follows.
   */
  private fail(refusal?: Problem): false {
    if (this.answer.hasBegun()) {
      this.outcome = 'broken-off';
      this.sink.disconnect();
      return false;
    }
    if (this.errorResponse !== undefined) {
      this.outcome = `server-status-${this.errorResponse.status}`;
      this.sink.begin(this.errorResponse.status, this.errorResponse.headers);
      void this.sink.write(this.errorResponse.body).then(() => this.sink.end());
      return false;
    }
    const problem = this.createProblem(refusal);
    this.outcome = problem.kind;
    this.sink.refuse(problem);
    return false;
  }

  /**
   * Ends the request because no server is available for it, or only servers that rate
   * limits or backoffs exclude. Returns `false`.
   */
  private failWithoutServer(decision: LimitAwareDecision): false {
    const {withheld, backingOff} = decision;
    if (withheld.length > 0) {
      this.addDetail('limits of servers used up');
      return this.fail(this.refusals.createLimited(withheld));
    }
    if (backingOff.length > 0) {
      this.addDetail('servers asked for a time without requests');
      return this.fail(this.refusals.createBackingOff(backingOff));
    }
    const boundVersion = this.getBoundVersion();
    if (boundVersion !== undefined) {
      this.addDetail(`no server of version ${boundVersion} available`);
      return this.fail(this.refusals.createVersionUnavailable());
    }
    this.failureDetail ||= 'no server available';
    return this.fail();
  }

  /**
   * Checks a new stream before its first attempt; one whose predicted wait exceeds the
   * first-token target must not be sent: its caller would give up, and it would delay
   * other requests. Returns the reason to refuse it; `undefined` to send it.
   */
  private checkPredictedWait(
    chosen: ScoredServer | undefined,
  ): Problem | undefined {
    const {request, options, answer} = this;
    const isFirstAttempt =
      this.attempts.count() === 1 && this.copiedRun === undefined;
    const isResumed = answer.getLastEventId() !== undefined;
    if (!request.route.streaming || !isFirstAttempt || isResumed) {
      return undefined;
    }
    const waitMs = chosen?.waitMs ?? 0;
    const {placeAdmission, random} = options;
    if (placeAdmission?.isEnabled() !== true) {
      return decideByWait(waitMs, request.route.targetMs, random);
    }
    const remainingMs = this.getRemainingMs();
    const {service} = this;
    return placeAdmission.decide({request, service, waitMs, remainingMs});
  }

  /**
   * Appends to the detail that is recorded if the request is not answered; it may be the
   * first part of it.
   */
  private addDetail(detail: string): void {
    this.failureDetail =
      this.failureDetail === '' ? detail : `${this.failureDetail}; ${detail}`;
  }

  private createProblem(refusal: Problem | undefined): Problem {
    if (this.attempts.mayHaveRun()) {
      return this.deadline.signal.aborted
        ? problems.deadlinePassed(ExecutionStatus.UNKNOWN)
        : problems.serverLost(this.failureDetail);
    }
    return refusal ?? this.refusals.createNoRoom();
  }

  private getRemainingMs(): number {
    return this.request.deadlineMs - this.options.clock.monotonicMs();
  }
}
