import {FleetFlight, FleetServer, FlightEnd} from '../fleet/index.js';
import {Repeat} from '../catalog/index.js';
import {AnswerRelay} from './answer_relay.js';
import {BufferedAnswer, readAnswer} from './buffered_answer.js';
import {
  ExchangeAnswer,
  ExchangeFailure,
  ExchangeKind,
  RunCopy,
} from './exchange.js';
import {RelayOptions} from './relay_options.js';
import {RelayRecord} from './relay_record.js';
import {RelayRequest} from './relay_request.js';
import {endWithAny, SilenceWatch} from '../time/index.js';

/** Outcome of an attempt. */
export const AttemptOutcome = {
  /** The complete answer was relayed to the caller. */
  DONE: 'done',
  /** The server answered with an error status. */
  FAILED: 'failed',
  /** The request did not run at this server, and will not. */
  NOT_RUN: 'not-run',
  /** No complete answer arrived; the request may have run. */
  LOST: 'lost',
} as const;
export type AttemptOutcome =
  (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Result of an attempt. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  /** Description of the failure; empty on success. */
  readonly detail: string;
  /** Outcome as it counts for the health of the server. */
  readonly serverOutcome: FlightEnd;
  /** Time until the first byte of the answer, in milliseconds; absent if none arrived. */
  readonly firstMs?: number;
  /** Duration of the attempt, in milliseconds. */
  readonly wholeMs: number;
  /** Error response of the server, for relaying. */
  readonly failure?: BufferedAnswer;
  /**
   * Time from sending until the run was lost because the server terminated or closed the
   * connection without a complete answer, in milliseconds; absent otherwise.
   */
  readonly lostAfterMs?: number;
}

/** Parameters of one attempt. */
export interface AttemptParams {
  readonly server: FleetServer;
  /** Predicted time to the first token, in milliseconds. */
  readonly predictedMs: number;
  /** Index of the attempt, from 0, for the log. */
  readonly number: number;
  readonly remainingMs: number;
  readonly urgency: number;
  /** Copy of the run's memory from which the server continues. */
  readonly copy?: RunCopy;
  /** Whether another server may be tried if this one does not respond. */
  readonly mayRetry: boolean;
}

/** State of the request that its attempts share. */
export interface AttemptContext {
  readonly request: RelayRequest;
  readonly answer: AnswerRelay;
  readonly record: RelayRecord;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly cancelled: AbortSignal;
  /**
   * Aborted when the server is known to have terminated, even if the connection is still
   * open.
   */
  readonly serverLost: AbortSignal;
}

const OK_FIRST = 200;
const OK_LAST = 299;
const SERVER_ERROR = 500;
/** Bytes of the answer to a repeatable request that are buffered until it is complete. */
const MAX_BUFFERED_BYTES = 65_536;
/** Longest body of an error response that is kept for relaying. */
const MAX_FAILURE_BODY_BYTES = 262_144;
/** Time beyond the predicted one within which a stream must begin, in milliseconds. */
const FIRST_EVENT_MARGIN_MS = 1200;
/**
 * Longest pause between events of a stream that another server may continue, in
 * milliseconds.
 */
const EVENT_GAP_TIMEOUT_MS = 700;
/**
 * Part of the route's timeout for which a plain request waits for one server to respond.
 */
const PLAIN_TIMEOUT_SHARE = 0.5;

/** Sends a request once to one server and relays the answer. */
export class RelayAttempt {
  /** Absent if no other server may be tried. */
  private readonly silence: SilenceWatch | undefined;
  private readonly inFlight: FleetFlight;
  private readonly sentMs: number;
  private readonly abortSignal: AbortSignal;
  /**
   * Time until the first byte of the answer, in milliseconds; absent before it arrives.
   */
  private firstMs: number | undefined;

  constructor(
    private readonly options: RelayOptions,
    private readonly context: AttemptContext,
    private readonly params: AttemptParams,
  ) {
    const {server, predictedMs, urgency} = params;
    const {parts} = context.request.prompt;
    this.sentMs = options.clock.monotonicMs();
    this.inFlight = options.fleet.startFlight(
      server.id,
      parts,
      predictedMs,
      urgency,
    );
    this.silence = this.createSilenceWatch();
    this.abortSignal = this.createAbortSignal();
  }

  /** Sends the request and relays the answer. */
  async execute(): Promise<AttemptResult> {
    const {request, answer} = this.context;
    const {server, remainingMs, urgency, copy} = this.params;
    const lastEventId = answer.getLastEventId();
    const result = await this.options.exchange(
      {
        request,
        server,
        remainingMs,
        urgency,
        maySend: () => this.acceptsRequest(),
        ...(copy === undefined ? {} : {copy}),
        ...(lastEventId === undefined ? {} : {lastEventId}),
      },
      this.abortSignal,
    );
    if (result.limit !== undefined) {
      this.options.limits.addAnswer(server.id, result.limit, this.sentMs);
    }
    const attemptResult =
      result.kind === ExchangeKind.ANSWERED
        ? await this.receive(result)
        : this.fail(result);
    this.silence?.stop();
    return attemptResult;
  }

  /** Tells whether the server accepts the request in its current state. */
  private acceptsRequest(): boolean {
    const {fleet} = this.options;
    const {server, copy} = this.params;
    return copy === undefined
      ? fleet.isReady(server.id)
      : fleet.acceptsCopiedRun(server.id);
  }

  /**
   * Creates the signal that aborts the exchange: when the caller disconnects, the deadline
   * passes, the server has terminated or it does not respond in time.
   */
  private createAbortSignal(): AbortSignal {
    const {cancelled, serverLost} = this.context;
    const signals = [cancelled, serverLost];
    if (this.silence !== undefined) {
      signals.push(this.silence.getSignal());
    }
    return endWithAny(signals);
  }

  /** Limits the time without a response if another server may be tried. */
  private createSilenceWatch(): SilenceWatch | undefined {
    const {streaming, timeoutMs} = this.context.request.route;
    if (!this.params.mayRetry) {
      return undefined;
    }
    const firstMs = streaming
      ? this.params.predictedMs + FIRST_EVENT_MARGIN_MS
      : timeoutMs * PLAIN_TIMEOUT_SHARE;
    return new SilenceWatch(this.options.clock, firstMs);
  }

  private async receive(answer: ExchangeAnswer): Promise<AttemptResult> {
    try {
      if (answer.status < OK_FIRST || answer.status > OK_LAST) {
        return await this.receiveFailure(answer);
      }
      await this.relay(answer);
      return this.finish(FlightEnd.SUCCEEDED, {
        outcome: AttemptOutcome.DONE,
        detail: '',
      });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return this.fail({kind: ExchangeKind.LOST, detail});
    }
  }

  private async receiveFailure(answer: ExchangeAnswer): Promise<AttemptResult> {
    this.recordFirstByte();
    const failure = await readAnswer(answer, MAX_FAILURE_BODY_BYTES);
    const isServerFault = answer.status >= SERVER_ERROR;
    const detail = `${this.params.server.id}: status ${answer.status}`;
    return this.finish(isServerFault ? FlightEnd.FAILED : FlightEnd.SUCCEEDED, {
      outcome: AttemptOutcome.FAILED,
      detail,
      failure,
    });
  }

  /** Ends the in-flight request and creates the result. */
  private finish(
    serverOutcome: FlightEnd,
    result: Pick<
      AttemptResult,
      'outcome' | 'detail' | 'failure' | 'lostAfterMs'
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
    if (streaming) {
      await this.context.answer.relayStream(answer, () => {
        this.recordFirstByte();
        this.silence?.touch(EVENT_GAP_TIMEOUT_MS);
        this.inFlight.addProgress();
      });
      return;
    }
    this.recordFirstByte();
    const maxBufferedBytes = repeat === Repeat.ANY ? MAX_BUFFERED_BYTES : 0;
    await this.context.answer.relayBody(answer, maxBufferedBytes, () => {
      this.silence?.touch(timeoutMs);
    });
  }

  /** Records the time of the first byte; has no effect after the first call. */
  private recordFirstByte(): void {
    if (this.firstMs !== undefined) {
      return;
    }
    const tookMs = this.options.clock.monotonicMs() - this.sentMs;
    this.firstMs = tookMs;
    this.inFlight.addFirstByte(tookMs);
    this.context.record.addFirstByte(tookMs);
  }

  private fail(failure: ExchangeFailure): AttemptResult {
    const {server, number} = this.params;
    const {kind, detail} = failure;
    this.context.record.logFailure(server.id, number, kind, detail);
    return this.finish(this.getServerOutcome(failure), {
      outcome: kind,
      detail: `${server.id}: ${detail}`,
      ...(this.isServerLoss(failure)
        ? {lostAfterMs: this.options.clock.monotonicMs() - this.sentMs}
        : {}),
    });
  }

  /**
   * Tells whether the run was lost because the server terminated or closed the connection,
   * and not because this host aborted the exchange.
   */
  private isServerLoss({kind, spoiled}: ExchangeFailure): boolean {
    if (kind !== ExchangeKind.LOST || spoiled === true) {
      return false;
    }
    return this.context.serverLost.aborted || !this.abortSignal.aborted;
  }

  /**
   * Returns the outcome of a failed exchange as it counts for the health of the server.
   */
  private getServerOutcome(failure: ExchangeFailure): FlightEnd {
    const {full, notAccepting} = failure;
    if (
      this.context.cancelled.aborted ||
      full === true ||
      notAccepting === true
    ) {
      return FlightEnd.NEUTRAL;
    }
    const isUnresponsive =
      this.silence?.getSignal().aborted === true || failure.unsent === true;
    return isUnresponsive ? FlightEnd.SILENT : FlightEnd.FAILED;
  }
}
