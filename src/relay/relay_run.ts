import {decideByWait} from '../admission/index.js';
import {Attempts} from '../attempts/index.js';
import {Repeat} from '../catalog/index.js';
import {Problem, problems, Ran} from '../errors/index.js';
import {FleetServer} from '../fleet/index.js';
import {WatchedContent} from '../quarantine/index.js';
import {ScoredServer} from '../routing/index.js';
import {endWithAny} from '../time/index.js';
import {AnswerRelay} from './answer_relay.js';
import {AnswerSink} from './answer_sink.js';
import {BufferedAnswer} from './buffered_answer.js';
import {CopiedRun, copyAway} from './copy_away.js';
import {rankUrgency} from './rank_urgency.js';
import {AttemptEnd, AttemptResult, RelayAttempt} from './relay_attempt.js';
import {RelayOptions} from './relay_options.js';
import {RelayRecord} from './relay_record.js';
import {RelayRequest} from './relay_request.js';
import {RunWatch, WatchedResult} from './run_watch.js';
import {LimitedDecision, ServerChoice} from './server_choice.js';

/** Time left below which nothing is sent any more, in milliseconds. */
const MIN_REMAINING_MS = 5;
/** Servers asked beyond the attempts allowed, while none has run the request. */
const MAX_NOT_RUN = 3;
const SERVER_ERROR = 500;
const MS_PER_SECOND = 1000;
/** Made once: an error made for each request costs a trace of the stack. */
const TOO_LATE = new Error('deadline passed');
/** Part of a wait by which callers who come back are spread. */
const RETURN_SPREAD = 0.3;
/** Time to come back after a refusal for want of room, in seconds. */
const FULL_RETRY_S = 0.25;

/** What one run serves, and for whom. */
export interface RelayOrder {
  readonly request: RelayRequest;
  readonly content: WatchedContent;
  /** Service of the route that was drawn. */
  readonly service: string;
  /** Where the answer goes. */
  readonly sink: AnswerSink;
  /** Aborted when the caller leaves. */
  readonly left: AbortSignal;
}

/** One request on its way through its attempts, straight down. */
export class RelayRun {
  private readonly late = new AbortController();
  private readonly ended: AbortSignal;
  private readonly attempts: Attempts;
  private readonly record: RelayRecord;
  private readonly watch: RunWatch;
  private readonly answer: AnswerRelay;
  private readonly choice: ServerChoice;
  /** A server's own failure, relayed unless a later attempt does better. */
  private kept: BufferedAnswer | undefined;
  private outcome = 'answered';
  private lastDetail = '';
  /** Server that works on the request now. */
  private server: FleetServer | undefined;
  /** Ends the attempt at that server. */
  private lost = new AbortController();
  private relocation: Promise<void> | undefined;
  /** Where the run goes on, with its memory. */
  private copied: CopiedRun | undefined;

  private readonly request: RelayRequest;
  private readonly content: WatchedContent;
  private readonly service: string;
  private readonly sink: AnswerSink;
  private readonly left: AbortSignal;

  constructor(
    private readonly options: RelayOptions,
    order: RelayOrder,
  ) {
    const {request, service, sink, left} = order;
    this.request = request;
    this.content = order.content;
    this.service = service;
    this.sink = sink;
    this.left = left;
    this.ended = endWithAny([left, this.late.signal]);
    this.answer = new AnswerRelay(sink, request.lastEventId);
    this.record = new RelayRecord(options, request);
    this.watch = new RunWatch(options, {
      route: request.route.name,
      content: order.content,
      record: this.record,
    });
    this.attempts = new Attempts({
      repeat: request.route.repeat,
      maxRuns: request.route.maxAttempts,
      maxNotRun: MAX_NOT_RUN,
      spendRetry: () => options.budget.spend(service),
    });
    const {attempts} = this;
    this.choice = new ServerChoice(options, {request, service, attempts});
  }

  /** Serves the request to its end. */
  async execute(): Promise<void> {
    this.options.budget.addRequest(this.service);
    this.options.limits.addRequest(this.service, rankUrgency(this.request));
    const timer = setTimeout(
      () => this.late.abort(TOO_LATE),
      this.getRemainingMs(),
    );
    try {
      while (await this.tryOnce()) {
        // Each round is one attempt.
      }
    } finally {
      clearTimeout(timer);
    }
    this.record.addEnd({
      outcome: this.outcome,
      attempts: this.attempts.count(),
      detail: this.outcome === 'answered' ? '' : this.lastDetail,
    });
  }

  /**
   * Moves the request off a server that leaves, if it is there and may go on
   * only with its memory.
   */
  relocate(server: FleetServer): void {
    const {streaming, repeat} = this.request.route;
    if (this.server?.id === server.id && streaming && repeat === Repeat.ONCE) {
      this.relocation ??= this.moveFrom(server).finally(() => {
        this.relocation = undefined;
      });
    }
  }

  /** Notes that a server has started anew: what it had of the request is lost. */
  giveUpServer(server: FleetServer): void {
    if (this.copied?.server.id === server.id) {
      this.copied = undefined;
    }
    if (this.server?.id === server.id) {
      this.lost.abort();
    }
  }

  private async moveFrom(from: FleetServer): Promise<void> {
    this.copied =
      (await copyAway(this.options, from, {
        requestId: this.request.id,
        isThere: () => this.isAt(from),
        isDestinationReady: ({id}) => this.options.fleet.isReady(id),
        chooseDestination: () => this.chooseDestination(from),
        ended: this.ended,
      })) ?? this.copied;
    const {copied} = this;
    if (copied?.copy.source !== from.address) {
      return;
    }
    this.options.metrics.increment('relocated');
    this.options.log.info('relocated', {
      request: this.request.id,
      server: from.id,
      to: copied.server.id,
      after_event: this.answer.getLastEventId(),
    });
  }

  private isAt(server: FleetServer): boolean {
    return this.server?.id === server.id && !this.ended.aborted;
  }

  private chooseDestination(from: FleetServer): FleetServer | undefined {
    this.attempts.exclude(from.id);
    const destination = this.choice.getServer(this.choice.chooseBeside(from));
    if (destination !== undefined) {
      this.options.limits.take(destination.id);
    }
    return destination;
  }

  /** Makes one attempt; returns whether another is to follow. */
  private async tryOnce(): Promise<boolean> {
    if (this.isOver()) {
      return false;
    }
    const heldMs = this.watch.getHeldMs(this.answer.hasBegun());
    if (heldMs > 0) {
      this.addDetail('kept away from servers');
      const seconds = heldMs / MS_PER_SECOND;
      return this.fail(problems.quarantined(this.content.getName(), seconds));
    }
    if (!this.attempts.begin()) {
      this.addDetail('retry budget spent');
      return this.fail();
    }
    const {copied} = this;
    const decision = this.choice.choose();
    this.record.addDecision(
      decision,
      this.attempts.count() - 1,
      this.answer.getLastEventId(),
    );
    const server = copied?.server ?? this.choice.getServer(decision);
    if (server === undefined || decision.chosen === undefined) {
      return this.failWithoutServer(decision);
    }
    const unreachable = this.refuseLateStart(decision.chosen);
    if (unreachable !== undefined) {
      this.outcome = unreachable.kind;
      this.sink.refuse(unreachable);
      return false;
    }
    if (copied === undefined) {
      this.options.limits.take(server.id);
    }
    const predictedMs = decision.chosen.firstTokenMs;
    const result = await this.watch.run(server, () =>
      this.attempt(server, predictedMs, copied),
    );
    if (result.end === AttemptEnd.DONE) {
      return false;
    }
    // The channel of a run that was stopped may close before the word of it.
    await this.relocation;
    if (this.copied !== undefined && this.copied !== copied) {
      return true;
    }
    return this.goOn(server, result);
  }

  private async attempt(
    server: FleetServer,
    predictedMs: number,
    copied: CopiedRun | undefined,
  ): Promise<WatchedResult> {
    const {request, answer, record, ended} = this;
    this.server = server;
    this.lost = new AbortController();
    const lost = this.lost.signal;
    const attempt = new RelayAttempt(
      this.options,
      {request, answer, record, ended, lost},
      {
        server,
        predictedMs,
        number: this.attempts.count() - 1,
        remainingMs: this.getRemainingMs(),
        urgency: rankUrgency(request),
        hasSpare: this.attempts.hasSpare(),
        ...(copied === undefined ? {} : {copy: copied.copy}),
      },
    );
    const result = await attempt.execute();
    this.server = undefined;
    return {...result, serverIsLost: lost.aborted};
  }

  /** Settles an attempt without an answer; returns whether another follows. */
  private goOn(server: FleetServer, result: AttemptResult): boolean {
    this.lastDetail = result.detail;
    this.kept = result.failure ?? this.kept;
    const mayHaveRun = result.end !== AttemptEnd.NOT_RUN;
    const mayAskAnother = this.attempts.fail(server.id, mayHaveRun);
    if (this.isOver()) {
      return false;
    }
    const isFinal =
      result.failure !== undefined &&
      result.failure.status < SERVER_ERROR &&
      !this.answer.hasBegun();
    if (isFinal || !mayAskAnother || (mayHaveRun && !this.canGoOn())) {
      return this.fail();
    }
    return true;
  }

  /** A stream goes on after an event; what has not begun begins anew. */
  private canGoOn(): boolean {
    if (!this.answer.hasBegun()) {
      return true;
    }
    const {repeat} = this.request.route;
    const after = this.answer.getLastEventId();
    return repeat === Repeat.RESUME && after !== undefined;
  }

  /** Settles a request whose caller has left or whose time is up. */
  private isOver(): boolean {
    if (this.left.aborted) {
      this.outcome = 'caller-left';
      this.sink.breakOff();
      return true;
    }
    if (this.late.signal.aborted || this.getRemainingMs() < MIN_REMAINING_MS) {
      this.addDetail('deadline passed');
      this.fail();
      return true;
    }
    return false;
  }

  /**
   * Ends the request with the best answer that there is; returns `false`.
   * @param refusal - Why it is sent to no server, where that is known to be for a while.
   */
  private fail(refusal?: Problem): false {
    if (this.answer.hasBegun()) {
      this.outcome = 'broken-off';
      this.sink.breakOff();
      return false;
    }
    if (this.kept !== undefined) {
      this.outcome = `server-status-${this.kept.status}`;
      this.sink.begin(this.kept.status, this.kept.headers);
      void this.sink.write(this.kept.body).then(() => this.sink.end());
      return false;
    }
    const problem = this.createProblem(refusal);
    this.outcome = problem.kind;
    this.sink.refuse(problem);
    return false;
  }

  /** Ends a request that there is no server for, or only such whose limits are used up. */
  private failWithoutServer({withheld}: LimitedDecision): false {
    const {limits, random} = this.options;
    if (withheld.length === 0) {
      this.lastDetail ||= 'no server';
      return this.fail();
    }
    this.addDetail('limits of servers used up');
    const returnMs = limits.addRefused(this.service, withheld);
    const spreadMs = returnMs * (1 + RETURN_SPREAD * random.next());
    return this.fail(
      problems.serviceLimited(this.service, spreadMs / MS_PER_SECOND),
    );
  }

  /**
   * Refuses a stream at its first attempt where it could not begin in time: sent,
   * it would be given up by its caller, and would keep others waiting.
   */
  private refuseLateStart({waitMs = 0}: ScoredServer): Problem | undefined {
    const {request, options, answer} = this;
    const isFirst = this.attempts.count() === 1 && this.copied === undefined;
    const goesOn = answer.getLastEventId() !== undefined;
    if (!request.route.streaming || !isFirst || goesOn) {
      return undefined;
    }
    return decideByWait(waitMs, request.route.targetMs, options.random);
  }

  /** Notes what else went wrong, after what did before. */
  private addDetail(detail: string): void {
    this.lastDetail =
      this.lastDetail === '' ? detail : `${this.lastDetail}; ${detail}`;
  }

  private createProblem(refusal: Problem | undefined): Problem {
    if (this.attempts.mayHaveRun()) {
      return this.late.signal.aborted
        ? problems.deadlinePassed(Ran.UNKNOWN)
        : problems.serverLost(this.lastDetail);
    }
    const spread = FULL_RETRY_S * (1 + this.options.random.next());
    return refusal ?? problems.noRoom(this.service, spread);
  }

  private getRemainingMs(): number {
    return this.request.deadlineMs - this.options.clock.monotonicMs();
  }
}
