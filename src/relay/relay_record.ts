import {Framing, IncompleteReason} from '../answer/index.js';
import {LogFields} from '../log/index.js';
import {RetryBudgetState} from '../retry_budget/index.js';
import {OriginSource} from '../stream_versions/index.js';
import {AttemptEnd} from './attempt_end.js';
import {RelayOptions} from './relay_options.js';
import {RelayRequest} from './relay_request.js';
import {LimitAwareDecision} from './server_choice.js';

/** Outcome of a request, for its last log line. */
export interface RelayOutcome {
  readonly outcome: string;
  readonly attempts: number;
  /** How the end of the last answer was marked; absent if no server answered. */
  readonly framing: Framing | undefined;
  /** Bytes after the last complete event of a stream. */
  readonly restBytes: number;
  /** Versions of the servers whose events were relayed, in order. */
  readonly versions: readonly string[];
  /** Description of the last failure; empty on success. */
  readonly detail: string;
}

/** An attempt that has ended without a complete answer. */
export interface EndedAttempt {
  /** Index of the attempt, from 0. */
  readonly attempt: number;
  /** Id of the last event that was relayed. */
  readonly afterEvent: string | undefined;
  /** Time since its server last sent anything, in milliseconds; absent if not measured. */
  readonly silentMs: number | undefined;
}

/** An attempt that brought no complete answer. */
export interface FailedAttempt extends EndedAttempt {
  /** Value of `ExchangeKind`. */
  readonly kind: string;
  /** Description of the failure. */
  readonly detail: string;
  /** Why the answer is not complete; absent if none had begun. */
  readonly reason: IncompleteReason | undefined;
  /** How the end of the answer was marked; absent if none had begun. */
  readonly framing: Framing | undefined;
  readonly end: AttemptEnd;
}

/** What an attempt goes on from. */
export interface AttemptOrigin {
  /** Index of the attempt, from 0. */
  readonly attempt: number;
  /** Id of the event after which a stream goes on; absent if it begins. */
  readonly resumeAfter: string | undefined;
  /** Version at which that stream began. */
  readonly boundVersion: string | undefined;
  /** How the version of a stream that a caller takes up became known. */
  readonly boundBy: OriginSource | undefined;
  /** State of the retry budget once this attempt took from it; absent for the first one. */
  readonly budget: RetryBudgetState | undefined;
  /** Servers of silent runs beside which the attempt begins. */
  readonly beside?: readonly string[];
}

/** A run whose server is silent, beside which no other run can begin. */
export interface KeptRun {
  readonly servers: readonly string[];
  /** Id of the last event that was relayed. */
  readonly afterEvent: string | undefined;
  /** Why no other run can begin now. */
  readonly obstacle: string;
}

/** A run that was lost because its server terminated or closed the connection. */
export interface LostRun {
  /**
   * Fingerprint of the content of the request, which does not depend on the request id.
   */
  readonly content: string;
  readonly server: string;
  /** Time from sending until the run was lost, in milliseconds. */
  readonly ranMs: number;
  /** Whether the server is known to have terminated. */
  readonly serverTerminated: boolean;
}

/** Most servers excluded for one reason that a log line lists. */
const MAX_LISTED_SERVERS = 3;
/** Most parts of the prompt of a lost run that a log line lists. */
const MAX_LISTED_PARTS = 12;

/** Logs, counts and bills one request. */
export class RelayRecord {
  /**
   * Time from the arrival of the request until the first byte of its answer, in
   * milliseconds.
   */
  private firstByteMs: number | undefined;
  /** Why no other run could begin beside a silent one, as last logged. */
  private loggedObstacle: string | undefined;

  constructor(
    private readonly options: RelayOptions,
    private readonly request: RelayRequest,
  ) {}

  /** Logs which server was chosen for an attempt, and why. */
  logDecision(decision: LimitAwareDecision, origin: AttemptOrigin): void {
    const {request} = this;
    const {attempt, resumeAfter, boundVersion, boundBy, budget, beside} =
      origin;
    const {chosen, runnersUp, reason, withheld, backingOff, isUnreachable} =
      decision;
    const remainingMs = request.deadlineMs - this.options.clock.monotonicMs();
    this.options.log.info('route', {
      request: request.id,
      route: request.route.name,
      customer: request.account?.name,
      catalog: this.options.catalog.getVersion(),
      attempt,
      beside: beside && formatServers(beside),
      server: chosen?.server,
      version: this.getVersion(chosen?.server),
      server_limit: this.getRateLimit(chosen?.server),
      withheld: formatServers(withheld),
      backing_off: formatServers(backingOff),
      target_ms: request.route.targetMs,
      predicted_ms: chosen?.firstTokenMs.toFixed(0),
      queue_ms: chosen?.queueMs.toFixed(0),
      remaining_ms: remainingMs.toFixed(0),
      runners_up: runnersUp.map(other => other.server).join(',') || undefined,
      reason: isUnreachable ? 'servers-unreachable' : reason,
      resume_after: resumeAfter,
      started_by: request.startedBy,
      bound_version: boundVersion,
      bound_by: boundBy,
      forwarded_by: request.forwardedBy,
      ...(budget === undefined ? {} : formatBudget(budget)),
    });
  }

  /** Logs that the retry budget of the service allows no further attempt, and why. */
  logRetryDenied(service: string, budget: RetryBudgetState): void {
    this.options.log.info('retry_denied', {
      request: this.request.id,
      route: this.request.route.name,
      service,
      ...formatBudget(budget),
    });
  }

  private getVersion(server: string | undefined): string | undefined {
    return server === undefined
      ? undefined
      : this.options.fleet.get(server)?.version;
  }

  /** Returns the rate limit that a server states, in requests per second. */
  private getRateLimit(server: string | undefined): number | undefined {
    return server === undefined
      ? undefined
      : this.options.limits.getLimit(server);
  }

  /** Logs that runs whose servers are silent go on alone; the same obstacle is logged once. */
  logKeptRun({servers, afterEvent, obstacle}: KeptRun): void {
    if (this.loggedObstacle === obstacle) {
      return;
    }
    this.loggedObstacle = obstacle;
    const {id, route} = this.request;
    this.options.metrics.increment('silent_runs', {result: obstacle});
    this.options.log.info('silent_run_kept', {
      request: id,
      route: route.name,
      server: formatServers(servers),
      after_event: afterEvent,
      obstacle,
    });
  }

  /** Logs that a silent server goes on. */
  logSilenceEnd(server: string, silentMs: number): void {
    this.loggedObstacle = undefined;
    this.options.metrics.increment('silent_runs', {result: 'resumed'});
    this.options.log.info('silent_run_resumed', {
      request: this.request.id,
      server,
      silent_ms: silentMs.toFixed(0),
    });
  }

  /** Logs an attempt whose run was closed, since another run went on first. */
  logSuperseded(server: string, ended: EndedAttempt): void {
    const {attempt, afterEvent, silentMs} = ended;
    this.loggedObstacle = undefined;
    this.options.metrics.increment('silent_runs', {result: 'superseded'});
    this.options.log.info('run_superseded', {
      request: this.request.id,
      server,
      attempt,
      after_event: afterEvent,
      silent_ms: silentMs?.toFixed(0),
    });
  }

  /**
   * Logs and counts an event after whose id no server can continue the stream.
   * @param server - Server that sent it.
   * @param afterEvent - Id of the event before it, if there is one.
   */
  addUnusableId(server: string, afterEvent: string | undefined): void {
    this.options.metrics.increment('unusable_event_ids');
    this.options.log.warn('unusable_event_id', {
      request: this.request.id,
      server,
      after_event: afterEvent,
    });
  }

  /** Logs an attempt that brought no complete answer. */
  logFailure(server: string, failure: FailedAttempt): void {
    const {kind, detail, reason, framing, afterEvent, attempt} = failure;
    const {end, silentMs} = failure;
    this.options.metrics.increment('attempts_failed', {end});
    if (reason !== undefined) {
      this.options.metrics.increment('incomplete_answers', {
        reason,
        framing: framing ?? Framing.NONE,
      });
    }
    this.options.log.warn('attempt_failed', {
      request: this.request.id,
      server,
      kind,
      reason,
      framing,
      after_event: afterEvent,
      end,
      silent_ms: silentMs?.toFixed(0),
      detail,
      attempt,
    });
  }

  /** Logs and counts a lost run. */
  addLostRun({content, server, ranMs, serverTerminated}: LostRun): void {
    this.options.metrics.increment('runs_lost', {
      ended: String(serverTerminated),
    });
    const {id, route, account, prompt} = this.request;
    const parts = prompt.parts.slice(0, MAX_LISTED_PARTS).map(part => part.id);
    this.options.log.warn('run_lost', {
      request: id,
      route: route.name,
      customer: account?.name,
      content,
      parts: parts.join(',') || undefined,
      server,
      ran_ms: ranMs.toFixed(0),
      server_ended: serverTerminated,
    });
  }

  /**
   * Records the first byte of an answer, at which the customer is billed; has no effect
   * after the first call.
   * @param tookMs - Time since the request was sent to the server, in milliseconds.
   * @param isBilled - Whether this host bills the customer; another one may.
   */
  addFirstByte(tookMs: number, isBilled = true): void {
    if (this.firstByteMs !== undefined) {
      return;
    }
    const {clock, metrics, usageLedger} = this.options;
    const {route, account, arrivedMs} = this.request;
    this.firstByteMs = clock.monotonicMs() - arrivedMs;
    metrics.record('relay_first_byte', this.firstByteMs, {route: route.name});
    if (account !== undefined && isBilled) {
      // A plain request is billed as of its sending, a stream as of its first token.
      usageLedger.add(account.name, route.streaming ? 0 : tookMs);
    }
  }

  /** Logs and counts the outcome of the request. */
  addOutcome(ended: RelayOutcome): void {
    const {outcome, attempts, framing, restBytes, versions, detail} = ended;
    const {request} = this;
    const {log, metrics, clock} = this.options;
    const {name: route, streaming, targetMs} = request.route;
    const tookMs = clock.monotonicMs() - request.arrivedMs;
    const servedMs = streaming ? (this.firstByteMs ?? tookMs) : tookMs;
    const lateMs = Math.max(0, servedMs - targetMs);
    metrics.increment('relayed', {route, outcome});
    if (framing !== undefined) {
      metrics.increment('answers', {framing, outcome});
    }
    metrics.record('relay_whole', tookMs, {route});
    log.info('relayed', {
      request: request.id,
      route,
      outcome,
      attempts,
      first_byte_ms: this.firstByteMs?.toFixed(0),
      took_ms: tookMs.toFixed(0),
      late_ms: lateMs > 0 ? lateMs.toFixed(0) : undefined,
      forwarded_by: request.forwardedBy,
      framing,
      rest_bytes: restBytes > 0 ? restBytes : undefined,
      versions: versions.join(',') || undefined,
      detail: detail === '' ? undefined : detail,
    });
  }
}

/** Formats what decides on the retries of a service. */
function formatBudget(budget: RetryBudgetState): LogFields {
  return {
    budget_left: budget.left.toFixed(1),
    budget_requests: budget.requests,
    budget_retries: budget.retries,
    budget_slack: budget.slack.toFixed(1),
    budget_hosts: budget.hosts,
    budget_age_ms: budget.ageMs.toFixed(0),
  };
}

/** Formats the ids of servers for a log line; `undefined` if there are none. */
function formatServers(ids: readonly string[]): string | undefined {
  return ids.slice(0, MAX_LISTED_SERVERS).join(',') || undefined;
}
