import {Framing, IncompleteAnswer, IncompleteReason} from '../answer/index.js';
import {TrackedRequest, RequestOutcome} from '../fleet/index.js';
import {Repeat} from '../catalog/index.js';
import {RelayedRun} from './answer_relay.js';
import {AttemptAborted, AttemptEnd, findAttemptEnd} from './attempt_end.js';
import {AttemptContext, AttemptParams} from './attempt_params.js';
import {AttemptOutcome, AttemptResult} from './attempt_result.js';
import {readAnswer} from './buffered_answer.js';
import {
  ExchangeAnswer,
  ExchangeFailure,
  ExchangeKind,
  ExchangeResult,
} from './exchange.js';
import {RelayOptions} from './relay_options.js';
import {RawHeader} from './relay_request.js';
import {combineSignals, SilenceWatch} from '../time/index.js';

/** Created once: an error per request would cost a stack trace each. */
const UNREACHABLE = new AttemptAborted(
  AttemptEnd.REROUTED,
  'servers unreachable from this host',
);
/** Reasons that show that the server is running, though what it sends is unusable. */
const ENDLESS_REASONS: ReadonlySet<IncompleteReason> = new Set([
  IncompleteReason.EVENT_TOO_LONG,
  IncompleteReason.OVERHEAD,
]);
const OK_FIRST = 200;
const OK_LAST = 299;
const SERVER_ERROR = 500;
const CONTENT_TYPE = 'content-type';
const EVENT_STREAM = /^\s*text\/event-stream\s*(;|$)/i;
/**
 * Bytes of the answer to a repeatable request that are buffered until it is complete.
 * Beyond them, the answer is relayed as it arrives, and no other server can replace it.
 */
const MAX_BUFFERED_BYTES = 65_536;
/** Longest body of an error response that is kept for relaying. */
const MAX_FAILURE_BODY_BYTES = 262_144;
/**
 * Time beyond the predicted one after which a server whose stream has not begun counts as
 * silent, in milliseconds.
 */
const FIRST_EVENT_MARGIN_MS = 1200;
/** Pause between events of a stream after which its server counts as silent, in milliseconds. */
const EVENT_GAP_MS = 700;
/**
 * Share of the route's timeout after which a server counts as silent that has sent nothing of an
 * answer that is not a stream.
 */
const NON_STREAM_TIMEOUT_SHARE = 0.5;

/** Sends a request once to one server and relays the answer. */
export class RelayAttempt {
  /** Measures the time without a response; absent if no other server may be tried. */
  private readonly silenceWatch: SilenceWatch | undefined;
  private readonly inFlight: TrackedRequest;
  private readonly sentMs: number;
  private readonly abortSignal: AbortSignal;
  /**
   * Time until the first byte of the answer, in milliseconds; absent before it arrives.
   */
  private firstMs: number | undefined;
  /** How the end of the answer is marked; absent before its head arrives. */
  private framing: Framing | undefined;
  /** Why the request was not sent although the server accepts it; absent if it was. */
  private withheldDetail: string | undefined;
  /** Aborted when the request is to be sent by another way. */
  private readonly rerouted = new AbortController();

  constructor(
    private readonly options: RelayOptions,
    private readonly context: AttemptContext,
    private readonly params: AttemptParams,
  ) {
    const {server, predictedMs, urgency} = params;
    const {parts} = context.request.prompt;
    this.sentMs = options.clock.monotonicMs();
    options.backoffs.beginAttempt(server.id);
    this.inFlight = options.fleet.trackRequest(
      server.id,
      parts,
      predictedMs,
      urgency,
      params.features,
    );
    if (params.isProbe === true) {
      this.inFlight.markProbe();
    }
    this.silenceWatch = this.createSilenceWatch();
    this.abortSignal = this.createAbortSignal();
  }

  /** Sends the request and relays the answer. */
  async execute(): Promise<AttemptResult> {
    const {reachability} = this.options;
    const {server, forward} = this.params;
    const endWait =
      forward === undefined
        ? reachability.beginWait(server.service)
        : undefined;
    try {
      const result = await this.send();
      if (result.server !== undefined) {
        this.context.run.server = result.server;
      }
      this.recordStatement(result);
      const attemptResult =
        result.kind === ExchangeKind.ANSWERED
          ? await this.receive(result)
          : this.fail(result);
      return result.server === undefined
        ? attemptResult
        : {...attemptResult, forwardedTo: result.server};
    } finally {
      endWait?.();
      this.silenceWatch?.stop();
    }
  }

  /**
   * Aborts the attempt if nothing was sent yet, after this host has lost its connections to all
   * servers of the service, so that the request can be forwarded to another host. If it was
   * sent, its server counts as silent.
   */
  reroute(): void {
    if (this.params.forward !== undefined) {
      return;
    }
    const {run} = this.context;
    if (run.wasSent) {
      run.isSilent = true;
    } else {
      this.rerouted.abort(UNREACHABLE);
    }
  }

  private send(): Promise<ExchangeResult> {
    const {request, answer} = this.context;
    const {server, urgency, copy, forward, excluded, boundVersion} =
      this.params;
    const {clock, exchange, handlePendingEvents} = this.options;
    const lastEventId = answer.getLastEventId();
    const params = {
      request,
      get remainingMs() {
        return request.deadlineMs - clock.monotonicMs();
      },
      maySend: () => this.maySend(),
      ...(handlePendingEvents === undefined ? {} : {handlePendingEvents}),
      ...(lastEventId === undefined ? {} : {lastEventId}),
    };
    if (forward !== undefined) {
      const {service} = server;
      const bound = boundVersion === undefined ? {} : {boundVersion};
      return forward(
        extend(params, {service, excluded, ...bound}),
        this.abortSignal,
      );
    }
    return exchange(
      extend(params, {server, urgency, ...(copy === undefined ? {} : {copy})}),
      this.abortSignal,
    );
  }

  /** Records what the answer, if any, states about its server. */
  private recordStatement(result: ExchangeResult): void {
    const {kind, statement} = result;
    const {backoffs, brittle, fleet, limits} = this.options;
    const {id, service} = this.params.server;
    const {sentMs} = this;
    if (statement !== undefined || kind === ExchangeKind.ANSWERED) {
      this.addBytes();
    }
    if (statement !== undefined) {
      brittle.addAnswer({
        service,
        server: id,
        ...(statement.brittle === undefined ? {} : {stated: statement.brittle}),
        isSuccess: kind === ExchangeKind.ANSWERED && isSuccess(result.status),
        sentMs,
      });
    }
    if (statement?.isLeaving === true) {
      fleet.leaving.addAnswer(id);
    }
    if (statement?.limit !== undefined) {
      limits.addAnswer(id, statement.limit, sentMs);
    }
    backoffs.endAttempt(id, {
      isAnswered: statement !== undefined,
      stated: statement?.backoff,
      sentMs,
    });
  }

  /**
   * Tells whether the request is to be sent now. The clock is read, since the timer of the
   * deadline fires late on a busy event loop.
   */
  private maySend(): boolean {
    const {request, cancelled} = this.context;
    if (cancelled.aborted) {
      this.withheldDetail = 'not sent: the caller left or the deadline passed';
      return false;
    }
    if (request.deadlineMs <= this.options.clock.monotonicMs()) {
      this.withheldDetail = 'not sent: the deadline has passed';
      return false;
    }
    if (!this.acceptsRequest()) {
      return false;
    }
    request.onSend?.();
    this.context.run.wasSent = true;
    return true;
  }

  /** Tells whether the server accepts the request in its current state. */
  private acceptsRequest(): boolean {
    const {backoffs, fleet} = this.options;
    const {server, copy, forward} = this.params;
    if (forward !== undefined) {
      return true;
    }
    return copy === undefined
      ? fleet.isReady(server.id) && !backoffs.isActive(server.id)
      : fleet.acceptsCopiedRun(server.id) && backoffs.takeCopiedRun(server.id);
  }

  /**
   * Creates the signal that aborts the exchange: when the caller disconnects, the deadline
   * passes, the server has terminated or another run is kept.
   */
  private createAbortSignal(): AbortSignal {
    const {cancelled, run} = this.context;
    const {serverLost, supersededBy} = run;
    return combineSignals([
      cancelled,
      serverLost,
      supersededBy,
      this.rerouted.signal,
    ]);
  }

  /** Starts to measure the time without a response if another server may be tried. */
  private createSilenceWatch(): SilenceWatch | undefined {
    const {streaming, timeoutMs} = this.context.request.route;
    if (this.params.onSilent === undefined) {
      return undefined;
    }
    const firstByteLimitMs = streaming
      ? this.params.predictedMs + FIRST_EVENT_MARGIN_MS
      : timeoutMs * NON_STREAM_TIMEOUT_SHARE;
    return new SilenceWatch(this.options.clock, firstByteLimitMs, () =>
      this.handleSilence(),
    );
  }

  private handleSilence(): void {
    const {run} = this.context;
    run.isSilent = true;
    this.inFlight.setSilent(true);
    this.params.onSilent?.();
  }

  /**
   * Records that bytes of the answer have arrived.
   * @param limitMs - Time without further bytes after which the server counts as silent.
   */
  private endSilence(limitMs: number): void {
    const {silenceWatch} = this;
    if (silenceWatch?.isSilent() === true) {
      const {record, run} = this.context;
      record.logSilenceEnd(run.server, silenceWatch.getInactiveMs());
      run.isSilent = false;
      this.inFlight.setSilent(false);
    }
    silenceWatch?.touch(limitMs);
  }

  private async receive(answer: ExchangeAnswer): Promise<AttemptResult> {
    this.framing = answer.framing;
    try {
      if (!isSuccess(answer.status)) {
        return await this.receiveFailure(answer);
      }
      await this.relay(answer);
      return this.finish(RequestOutcome.SUCCEEDED, {
        outcome: AttemptOutcome.DONE,
        detail: '',
      });
    } catch (error) {
      return this.fail(await this.toLoss(error));
    }
  }

  /** Describes why an answer that had begun did not become complete. */
  private async toLoss(error: unknown): Promise<ExchangeFailure> {
    const {aborted, reason: abortReason} = this.abortSignal;
    if (!aborted && (await this.context.mayBeStopped())) {
      return {
        kind: ExchangeKind.LOST,
        detail: 'the run was stopped for its relocation',
        reason: IncompleteReason.STOPPED,
      };
    }
    // An exchange that this host aborts ends like one whose server breaks off.
    const cause: unknown = aborted ? abortReason : error;
    return {
      kind: ExchangeKind.LOST,
      detail: cause instanceof Error ? cause.message : String(cause),
      ...(cause instanceof IncompleteAnswer
        ? {
            reason: cause.reason,
            corrupted: ENDLESS_REASONS.has(cause.reason),
          }
        : {}),
    };
  }

  private async receiveFailure(answer: ExchangeAnswer): Promise<AttemptResult> {
    this.recordFirstByte(false);
    const failure = await readAnswer(answer, MAX_FAILURE_BODY_BYTES);
    // A status below 500 is no fault of the server: it counts as a success for its health.
    const isServerFault = answer.status >= SERVER_ERROR;
    const detail = `${this.params.server.id}: status ${answer.status}`;
    return this.finish(
      isServerFault ? RequestOutcome.FAILED : RequestOutcome.SUCCEEDED,
      {
        outcome: AttemptOutcome.FAILED,
        detail,
        failure,
      },
    );
  }

  /**
   * Reports to the fleet that the request is no longer in flight, with the outcome for
   * the health of the server, and creates the result.
   */
  private finish(
    serverOutcome: RequestOutcome,
    result: Pick<
      AttemptResult,
      | 'outcome'
      | 'detail'
      | 'failure'
      | 'isDisconnected'
      | 'lostAfterMs'
      | 'refusal'
      | 'wasSent'
    >,
  ): AttemptResult {
    this.inFlight.finish(serverOutcome);
    const wholeMs = this.options.clock.monotonicMs() - this.sentMs;
    return {
      ...result,
      serverOutcome,
      wholeMs,
      ...(this.firstMs === undefined ? {} : {firstMs: this.firstMs}),
    };
  }

  private async relay(answer: ExchangeAnswer): Promise<void> {
    const {streaming, repeat, timeoutMs} = this.context.request.route;
    // Once events were relayed, only events may follow.
    const isStream =
      isEventStream(answer.headers) || this.context.answer.hasBegun();
    if (streaming && isStream) {
      const onReceived = () => {
        this.recordFirstByte();
        this.endSilence(EVENT_GAP_MS);
        this.inFlight.addProgress();
        this.addBytes();
      };
      const {answer: relayed, mayBeStopped} = this.context;
      const {server, forward} = this.params;
      const version =
        forward === undefined ? (server.version ?? '') : answer.version;
      await relayed.relayStream(
        answer,
        version,
        this.createRelayedRun(onReceived, EVENT_GAP_MS),
        mayBeStopped,
      );
      return;
    }
    this.recordFirstByte();
    const maxBufferedBytes = repeat === Repeat.ONCE ? 0 : MAX_BUFFERED_BYTES;
    const onReceived = () => {
      this.endSilence(timeoutMs);
      this.inFlight.addProgress();
      this.addBytes();
    };
    await this.context.answer.relayBody(
      answer,
      maxBufferedBytes,
      this.createRelayedRun(onReceived, timeoutMs),
    );
  }

  /** @param limitMs - See `endSilence`. */
  private createRelayedRun(
    onReceived: () => void,
    limitMs: number,
  ): RelayedRun {
    return {
      keep: () => this.context.run.keep(),
      onReceived,
      // A caller that reads slowly holds up the server.
      onRelaying: () => this.silenceWatch?.pause(),
      onRelayed: () => this.silenceWatch?.touch(limitMs),
      onUnusableId: () => this.recordUnusableId(),
    };
  }

  private recordUnusableId(): void {
    const {record, answer} = this.context;
    const afterEvent = answer.getLastEventId();
    record.addUnusableId(this.params.server.id, afterEvent);
  }

  /** Records that a server has responded, which shows that this host reaches it. */
  private addBytes(): void {
    if (this.params.forward === undefined) {
      this.options.reachability.addBytes(this.params.server.service);
    }
  }

  /**
   * Records the time of the first byte; has no effect after the first call.
   * @param wasServed - Whether the answer is not an error response.
   */
  private recordFirstByte(wasServed = true): void {
    if (this.firstMs !== undefined) {
      return;
    }
    const tookMs = this.options.clock.monotonicMs() - this.sentMs;
    this.firstMs = tookMs;
    this.inFlight.addFirstByte(tookMs, wasServed);
    // The host that sends a forwarded request to its server bills it.
    this.context.record.addFirstByte(tookMs, this.params.forward === undefined);
  }

  private fail(failure: ExchangeFailure): AttemptResult {
    const {server, number} = this.params;
    const {kind, reason} = failure;
    const detail = this.withheldDetail ?? failure.detail;
    const {record, answer} = this.context;
    const end = findAttemptEnd(this.abortSignal);
    const attempt = {
      attempt: number,
      afterEvent: answer.getLastEventId(),
      silentMs: this.silenceWatch?.getInactiveMs(),
    };
    if (end === AttemptEnd.SUPERSEDED) {
      record.logSuperseded(server.id, attempt);
    } else {
      const {framing} = this;
      const failed = {...attempt, kind, detail, reason, framing, end};
      record.logFailure(server.id, failed);
    }
    return this.finish(this.getServerOutcome(failure), {
      // Both kinds of failed exchange have the value of an `AttemptOutcome`.
      outcome: kind,
      detail: `${server.id}: ${detail}`,
      isDisconnected: this.isDisconnected(failure),
      wasSent: failure.unsent !== true && failure.notAccepting !== true,
      ...(failure.refusal === undefined ? {} : {refusal: failure.refusal}),
      ...(this.isServerLoss(failure)
        ? {lostAfterMs: this.options.clock.monotonicMs() - this.sentMs}
        : {}),
    });
  }

  /**
   * Tells whether the run was lost because the server terminated or closed the connection,
   * and not because this host aborted the exchange.
   */
  private isServerLoss(failure: ExchangeFailure): boolean {
    const {kind, corrupted} = failure;
    if (
      kind !== ExchangeKind.LOST ||
      corrupted === true ||
      isStopped(failure)
    ) {
      return false;
    }
    return this.context.run.serverLost.aborted || !this.abortSignal.aborted;
  }

  /** Tells whether the connection to the server failed, and not because of a cancellation. */
  private isDisconnected(failure: ExchangeFailure): boolean {
    const {kind, corrupted, unsent} = failure;
    const {cancelled, run} = this.context;
    if (
      isStopped(failure) ||
      this.params.forward !== undefined ||
      cancelled.aborted ||
      run.serverLost.aborted ||
      run.supersededBy.aborted
    ) {
      return false;
    }
    return (
      unsent === true || (kind === ExchangeKind.LOST && corrupted !== true)
    );
  }

  /**
   * Returns the outcome of a failed exchange as it counts for the health of the server.
   */
  private getServerOutcome(failure: ExchangeFailure): RequestOutcome {
    const {full, notAccepting, unsent} = failure;
    const {cancelled, run} = this.context;
    const {reachability} = this.options;
    if (
      full === true ||
      notAccepting === true ||
      isStopped(failure) ||
      // The failure says nothing about the server.
      reachability.isOwnFault(this.params.server.service)
    ) {
      return RequestOutcome.NEUTRAL;
    }
    if (this.silenceWatch?.isSilent() === true) {
      return RequestOutcome.UNRESPONSIVE;
    }
    if (cancelled.aborted || run.supersededBy.aborted) {
      return RequestOutcome.NEUTRAL;
    }
    // A server to which no byte could be sent is treated as one that does not respond.
    return unsent === true
      ? RequestOutcome.UNRESPONSIVE
      : RequestOutcome.FAILED;
  }
}

/** Returns whether the run ended since this host had it stopped. */
function isStopped({reason}: ExchangeFailure): boolean {
  return reason === IncompleteReason.STOPPED;
}

function isSuccess(status: number): boolean {
  return status >= OK_FIRST && status <= OK_LAST;
}

/**
 * Returns whether an answer on a streaming route consists of events: by its content type,
 * or if it states none. A server may answer with another type, such as JSON.
 */
function isEventStream(headers: readonly RawHeader[]): boolean {
  const type = headers.find(([name]) => name.toLowerCase() === CONTENT_TYPE);
  return type === undefined || EVENT_STREAM.test(type[1]);
}

/** Adds properties to an object, and keeps its getters. */
function extend<T extends object, U extends object>(target: T, more: U): T & U {
  return Object.defineProperties(
    target,
    Object.getOwnPropertyDescriptors(more),
  ) as T & U;
}
