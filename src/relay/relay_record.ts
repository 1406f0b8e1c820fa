import {RelayOptions} from './relay_options.js';
import {RelayRequest} from './relay_request.js';
import {LimitedDecision} from './server_choice.js';

/** How a request ended, for its last log line. */
export interface RelayEnd {
  readonly outcome: string;
  readonly attempts: number;
  /** What went wrong last; empty when nothing did. */
  readonly detail: string;
}

/** A run that its server broke off. */
export interface LostRun {
  /** Names the request by what it holds, whatever id it bears. */
  readonly content: string;
  readonly server: string;
  /** Time since the request was sent there, in milliseconds. */
  readonly ranMs: number;
  /** Whether the server is known to have ended. */
  readonly hasEnded: boolean;
}

/** Servers of one kind that a line names. */
const MAX_NAMED = 3;

/** What is logged, counted and billed of one request. */
export class RelayRecord {
  /** Time from the request's arrival to the first byte of its answer. */
  private firstByteMs: number | undefined;

  constructor(
    private readonly options: RelayOptions,
    private readonly request: RelayRequest,
  ) {}

  /** Writes where the request goes, and why. */
  addDecision(
    decision: LimitedDecision,
    attempt: number,
    resumeAfter: string | undefined,
  ): void {
    const {request} = this;
    const {chosen, runnersUp, reason, withheld} = decision;
    const remainingMs = request.deadlineMs - this.options.clock.monotonicMs();
    this.options.log.info('route', {
      request: request.id,
      route: request.route.name,
      customer: request.account?.name,
      catalog: this.options.catalog.getVersion(),
      attempt,
      server: chosen?.server,
      version: this.getVersion(chosen?.server),
      server_limit: this.getLimit(chosen?.server),
      withheld: withheld.slice(0, MAX_NAMED).join(',') || undefined,
      target_ms: request.route.targetMs,
      predicted_ms: chosen?.firstTokenMs.toFixed(0),
      queue_ms: chosen?.queueMs.toFixed(0),
      remaining_ms: remainingMs.toFixed(0),
      runners_up: runnersUp.map(other => other.server).join(',') || undefined,
      reason,
      resume_after: resumeAfter,
    });
  }

  /** Returns the version of the chosen server. */
  private getVersion(server: string | undefined): string | undefined {
    return server === undefined
      ? undefined
      : this.options.fleet.get(server)?.version;
  }

  /** Returns the limit that the chosen server names, in requests a second. */
  private getLimit(server: string | undefined): number | undefined {
    return server === undefined
      ? undefined
      : this.options.limits.getLimit(server);
  }

  /** Writes that an attempt brought no answer. */
  addFailure(
    server: string,
    attempt: number,
    kind: string,
    detail: string,
  ): void {
    this.options.log.warn('attempt_failed', {
      request: this.request.id,
      server,
      kind,
      detail,
      attempt,
    });
  }

  /** Writes that a server broke the request off while it worked on it. */
  addLoss({content, server, ranMs, hasEnded}: LostRun): void {
    this.options.metrics.increment('runs_lost', {ended: String(hasEnded)});
    this.options.log.warn('run_lost', {
      request: this.request.id,
      content,
      server,
      ran_ms: ranMs.toFixed(0),
      server_ended: hasEnded,
    });
  }

  /**
   * Counts that a server began to answer: the customer is billed for it.
   * @param tookMs - Time since the request was sent there.
   */
  addFirstByte(tookMs: number): void {
    if (this.firstByteMs !== undefined) {
      return;
    }
    const {clock, metrics, ledger} = this.options;
    const {route, account, arrivedMs} = this.request;
    this.firstByteMs = clock.monotonicMs() - arrivedMs;
    metrics.record('relay_first_byte', this.firstByteMs, {route: route.name});
    if (account !== undefined) {
      // A plain request began when it was sent, a stream with its first token.
      ledger.add(account.name, route.streaming ? 0 : tookMs);
    }
  }

  /** Writes how the request ended. */
  addEnd({outcome, attempts, detail}: RelayEnd): void {
    const {request} = this;
    const {log, metrics, clock} = this.options;
    const {name: route, streaming, targetMs} = request.route;
    const tookMs = clock.monotonicMs() - request.arrivedMs;
    const servedMs = streaming ? (this.firstByteMs ?? tookMs) : tookMs;
    const lateMs = Math.max(0, servedMs - targetMs);
    metrics.increment('relayed', {route, outcome});
    metrics.record('relay_whole', tookMs, {route});
    log.info('relayed', {
      request: request.id,
      route,
      outcome,
      attempts,
      first_byte_ms: this.firstByteMs?.toFixed(0),
      took_ms: tookMs.toFixed(0),
      late_ms: lateMs > 0 ? lateMs.toFixed(0) : undefined,
      detail: detail === '' ? undefined : detail,
    });
  }
}
