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

/** How an attempt ended. */
export const AttemptEnd = {
  /** The caller has its whole answer. */
  DONE: 'done',
  /** The server answered with a failure of its own. */
  FAILED: 'failed',
  /** It certainly did not run and never will. */
  NOT_RUN: 'not-run',
  /** It may have run. */
  LOST: 'lost',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** How an attempt went. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** What went wrong; empty when nothing did. */
  readonly detail: string;
  /** What it tells of its server. */
  readonly judged: FlightEnd;
  /** Time to the first byte of an answer, in milliseconds; absent without one. */
  readonly firstMs?: number;
  /** Time to its end, in milliseconds. */
  readonly wholeMs: number;
  /** The server's own failure, for relaying. */
  readonly failure?: BufferedAnswer;
  /**
   * Time from the sending until the server's side ended the channel without an
   * answer, in milliseconds; absent where that is not what happened.
   */
  readonly brokenOffMs?: number;
}

/** One sending of a request. */
export interface AttemptOrder {
  readonly server: FleetServer;
  /** Predicted time to the first token, in milliseconds. */
  readonly predictedMs: number;
  /** Number of the attempt, from 0, for the log. */
  readonly number: number;
  readonly remainingMs: number;
  readonly urgency: number;
  /** Copy of the run's memory to go on from. */
  readonly copy?: RunCopy;
  /** Whether the request may go on elsewhere if this server says nothing. */
  readonly hasSpare: boolean;
}

/** What an attempt works with besides the relay's options. */
export interface AttemptContext {
  readonly request: RelayRequest;
  readonly answer: AnswerRelay;
  readonly record: RelayRecord;
  /** Aborted when the caller has left or its time is up. */
  readonly ended: AbortSignal;
  /** Aborted when the server has ended, whether its channel shows it or not. */
  readonly lost: AbortSignal;
}

const OK_FIRST = 200;
const OK_LAST = 299;
const SERVER_ERROR = 500;
/** Bytes of a repeatable answer that are held until it is whole. */
const MAX_HELD_BYTES = 65_536;
/** Bytes of the answer to a failed attempt that are kept for relaying. */
const MAX_KEPT_BYTES = 262_144;
/** Time beyond the prediction in which a stream has to begin, in ms. */
const FIRST_SILENCE_MS = 1200;
/** Longest pause of a stream that may go on elsewhere, in milliseconds. */
const NEXT_SILENCE_MS = 700;
/** Share of its time that a plain request waits for one server. */
const PLAIN_SILENCE_SHARE = 0.5;

/** One sending of a request to one server, straight down. */
export class RelayAttempt {
  /** Absent where the request may not go on elsewhere. */
  private readonly silence: SilenceWatch | undefined;
  private readonly flight: FleetFlight;
  private readonly sentMs: number;
  private readonly ending: AbortSignal;
  /** Time to the first byte of the answer; absent before. */
  private firstMs: number | undefined;

  constructor(
    private readonly options: RelayOptions,
    private readonly context: AttemptContext,
    private readonly order: AttemptOrder,
  ) {
    const {server, predictedMs, urgency} = order;
    const {parts} = context.request.prompt;
    this.sentMs = options.clock.monotonicMs();
    this.flight = options.fleet.startFlight(
      server.id,
      parts,
      predictedMs,
      urgency,
    );
    this.silence = this.watchSilence();
    this.ending = this.listenForEnd();
  }

  /** Sends the request and relays what comes back. */
  async execute(): Promise<AttemptResult> {
    const {request, answer} = this.context;
    const {server, remainingMs, urgency, copy} = this.order;
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
      this.ending,
    );
    if (result.limit !== undefined) {
      this.options.limits.addAnswer(server.id, result.limit, this.sentMs);
    }
    const attempted =
      result.kind === ExchangeKind.ANSWERED
        ? await this.receive(result)
        : this.fail(result);
    this.silence?.stop();
    return attempted;
  }

  /** Tells whether the server accepts the request in its current state. */
  private acceptsRequest(): boolean {
    const {fleet} = this.options;
    const {server, copy} = this.order;
    return copy === undefined
      ? fleet.isReady(server.id)
      : fleet.acceptsCopiedRun(server.id);
  }

  /** Returns what ends the sending: the caller, its time, or the server. */
  private listenForEnd(): AbortSignal {
    const {ended, lost} = this.context;
    const signals = [ended, lost];
    if (this.silence !== undefined) {
      signals.push(this.silence.getSignal());
    }
    return endWithAny(signals);
  }

  /** Gives a silent server up where the request may go on elsewhere. */
  private watchSilence(): SilenceWatch | undefined {
    const {streaming, timeoutMs} = this.context.request.route;
    if (!this.order.hasSpare) {
      return undefined;
    }
    const firstMs = streaming
      ? this.order.predictedMs + FIRST_SILENCE_MS
      : timeoutMs * PLAIN_SILENCE_SHARE;
    return new SilenceWatch(this.options.clock, firstMs);
  }

  private async receive(answer: ExchangeAnswer): Promise<AttemptResult> {
    try {
      if (answer.status < OK_FIRST || answer.status > OK_LAST) {
        return await this.receiveFailure(answer);
      }
      await this.relay(answer);
      return this.finish(FlightEnd.SUCCEEDED, {
        end: AttemptEnd.DONE,
        detail: '',
      });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return this.fail({kind: ExchangeKind.LOST, detail});
    }
  }

  private async receiveFailure(answer: ExchangeAnswer): Promise<AttemptResult> {
    this.noteFirstByte();
    const failure = await readAnswer(answer, MAX_KEPT_BYTES);
    const isOwnFault = answer.status >= SERVER_ERROR;
    const detail = `${this.order.server.id}: status ${answer.status}`;
    return this.finish(isOwnFault ? FlightEnd.FAILED : FlightEnd.SUCCEEDED, {
      end: AttemptEnd.FAILED,
      detail,
      failure,
    });
  }

  /** Ends the flight, and says what it tells of the server. */
  private finish(
    judged: FlightEnd,
    result: Pick<AttemptResult, 'end' | 'detail' | 'failure' | 'brokenOffMs'>,
  ): AttemptResult {
    this.flight.finish(judged);
    const wholeMs = this.options.clock.monotonicMs() - this.sentMs;
    return {
      ...result,
      judged,
      wholeMs,
      ...(this.firstMs === undefined ? {} : {firstMs: this.firstMs}),
    };
  }

  private async relay(answer: ExchangeAnswer): Promise<void> {
    const {streaming, repeat, timeoutMs} = this.context.request.route;
    if (streaming) {
      await this.context.answer.relayStream(answer, () => {
        this.noteFirstByte();
        this.silence?.touch(NEXT_SILENCE_MS);
        this.flight.addProgress();
      });
      return;
    }
    this.noteFirstByte();
    const maxHeldBytes = repeat === Repeat.ANY ? MAX_HELD_BYTES : 0;
    await this.context.answer.relayBody(answer, maxHeldBytes, () => {
      this.silence?.touch(timeoutMs);
    });
  }

  /** Notes that the server answers, the first time it is called. */
  private noteFirstByte(): void {
    if (this.firstMs !== undefined) {
      return;
    }
    const tookMs = this.options.clock.monotonicMs() - this.sentMs;
    this.firstMs = tookMs;
    this.flight.addFirstByte(tookMs);
    this.context.record.addFirstByte(tookMs);
  }

  private fail(failure: ExchangeFailure): AttemptResult {
    const {server, number} = this.order;
    const {kind, detail} = failure;
    this.context.record.addFailure(server.id, number, kind, detail);
    return this.finish(this.judge(failure), {
      end: kind,
      detail: `${server.id}: ${detail}`,
      ...(this.isBrokenOff(failure)
        ? {brokenOffMs: this.options.clock.monotonicMs() - this.sentMs}
        : {}),
    });
  }

  /** Tells whether the server's side ended the channel, and not this host. */
  private isBrokenOff({kind, spoiled}: ExchangeFailure): boolean {
    if (kind !== ExchangeKind.LOST || spoiled === true) {
      return false;
    }
    return this.context.lost.aborted || !this.ending.aborted;
  }

  /** Judges what a failed sending tells of its server. */
  private judge(failure: ExchangeFailure): FlightEnd {
    const {full, notAccepting} = failure;
    if (this.context.ended.aborted || full === true || notAccepting === true) {
      return FlightEnd.NEUTRAL;
    }
    const isSilent =
      this.silence?.getSignal().aborted === true || failure.unsent === true;
    return isSilent ? FlightEnd.SILENT : FlightEnd.FAILED;
  }
}
