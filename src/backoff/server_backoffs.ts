import {FirstOccurrences, Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';
import {StatedBackoff} from './stated_backoff.js';

/** Dependencies of `ServerBackoffs`. */
export interface ServerBackoffsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly random: Random;
}

/** Result of sending a request to a server, as far as it concerns backoffs. */
export interface AttemptReport {
  /** Whether the server has answered. */
  readonly isAnswered: boolean;
  /** The backoff that the answer states, if it states one. */
  readonly stated?: StatedBackoff | undefined;
  /** When the request was sent, monotonic milliseconds. */
  readonly sentMs: number;
}

/** Backoff of one server. */
interface Backoff {
  /** End of the backoff, monotonic milliseconds. */
  untilMs: number;
  /** When a request was last sent as a trial, monotonic milliseconds. */
  trialMs: number;
  /** Copied runs that were sent during the backoff. */
  copiedRuns: number;
}

/** Longest backoff that is kept, in milliseconds; a longer one is taken for a mistake. */
const MAX_BACKOFF_MS = 3_600_000;
/**
 * Largest random addition to a backoff, as a share of it, so that hosts do not all return
 * to the server at once.
 */
const JITTER_SHARE = 0.1;
/** Time after which another trial is made if one is not answered, in milliseconds. */
const TRIAL_TIMEOUT_MS = 1000;
/**
 * Runs that continue from a copy at the server, and at no other one, which may be sent to
 * it during a backoff.
 */
const MAX_COPIED_RUNS = 1;
/** Time after its end at which the backoff of an unused server is removed, in ms. */
const RETENTION_MS = 60_000;
/** Maximum number of servers whose backoffs are kept. */
const MAX_SERVERS = 4096;

/**
 * Backoffs: times for which servers have asked this host to send them no requests.
 *
 * After the end of a backoff, one request is sent as a trial. The others follow once the
 * server has answered it without asking for another backoff, so that the requests that
 * have waited do not overload the server again.
 */
export class ServerBackoffs {
  /** By server incarnation. */
  private readonly backoffs = new Map<string, Backoff>();
  private readonly faulty = new FirstOccurrences();

  constructor(private readonly options: ServerBackoffsOptions) {
    const {metrics} = options;
    metrics.addGauge(
      'servers_backing_off',
      'Servers that have asked this host to send them no requests for a time',
      () => this.countActive(),
    );
    metrics.addCounter(
      'backoffs',
      'Backoffs that servers have asked for, by whether they were usable',
    );
  }

  /** Returns whether a server has asked for a backoff that is not over. */
  isActive(server: string): boolean {
    return this.getRemainingMs(server) > 0;
  }

  /** Returns the time until the backoff of a server is over, in milliseconds. */
  getRemainingMs(server: string): number {
    const untilMs = this.backoffs.get(server)?.untilMs ?? 0;
    return Math.max(0, untilMs - this.options.clock.monotonicMs());
  }

  /**
   * Lists the servers, of any service, that must not be chosen for a request now: those
   * with a backoff, and those that have not answered their trial.
   */
  listBlocked(): string[] {
    const nowMs = this.options.clock.monotonicMs();
    const blocked: string[] = [];
    for (const [server, {untilMs, trialMs}] of this.backoffs) {
      if (nowMs < untilMs || nowMs - trialMs < TRIAL_TIMEOUT_MS) {
        blocked.push(server);
      }
    }
    return blocked;
  }

  /**
   * Returns whether a copied run may be sent to a server. A few may during its backoff,
   * since they can continue at no other server.
   */
  takeCopiedRun(server: string): boolean {
    const backoff = this.backoffs.get(server);
    if (backoff === undefined || !this.isActive(server)) {
      return true;
    }
    backoff.copiedRuns++;
    return backoff.copiedRuns <= MAX_COPIED_RUNS;
  }

  /** Records that a request is about to be sent to a server. */
  beginAttempt(server: string): void {
    const backoff = this.backoffs.get(server);
    if (backoff !== undefined && !this.isActive(server)) {
      backoff.trialMs = this.options.clock.monotonicMs();
    }
  }

  /** Records the result of sending a request to a server. */
  endAttempt(server: string, report: AttemptReport): void {
    const {isAnswered, stated, sentMs} = report;
    if (stated?.isErr === true) {
      this.logUnusable(server, stated.error);
    }
    const statedMs = stated?.unwrapOr(0) ?? 0;
    if (statedMs > 0) {
      this.add(server, statedMs);
      return;
    }
    const backoff = this.backoffs.get(server);
    if (backoff === undefined || sentMs < backoff.untilMs) {
      return;
    }
    if (isAnswered) {
      this.backoffs.delete(server);
      this.options.log.info('server_backoff_over', {server});
    } else {
      backoff.trialMs = Number.NEGATIVE_INFINITY;
    }
  }

  private add(server: string, ms: number): void {
    const {clock, log, metrics, random} = this.options;
    metrics.increment('backoffs', {usable: 'true'});
    const cappedMs = Math.min(ms, MAX_BACKOFF_MS);
    const jitteredMs = cappedMs * (1 + JITTER_SHARE * random.next());
    const untilMs = clock.monotonicMs() + jitteredMs;
    const before = this.backoffs.get(server);
    if (before !== undefined && this.isActive(server)) {
      // Rejections of requests that were sent together each state a backoff.
      before.untilMs = Math.max(before.untilMs, untilMs);
      return;
    }
    this.backoffs.delete(server);
    this.backoffs.set(server, {
      untilMs,
      trialMs: Number.NEGATIVE_INFINITY,
      copiedRuns: 0,
    });
    this.trim();
    log.warn('server_backoff', {
      server,
      asked_ms: ms.toFixed(0),
      ends_in_ms: jitteredMs.toFixed(0),
    });
  }

  private countActive(): number {
    let count = 0;
    for (const server of this.backoffs.keys()) {
      count += this.isActive(server) ? 1 : 0;
    }
    return count;
  }

  /** Removes backoffs that ended long ago, and the oldest beyond the maximum number. */
  private trim(): void {
    const oldestMs = this.options.clock.monotonicMs() - RETENTION_MS;
    for (const [server, {untilMs}] of this.backoffs) {
      if (untilMs < oldestMs || this.backoffs.size > MAX_SERVERS) {
        this.backoffs.delete(server);
      }
    }
  }

  private logUnusable(server: string, detail: string): void {
    this.options.metrics.increment('backoffs', {usable: 'false'});
    if (this.faulty.add(server)) {
      this.options.log.warn('server_backoff_unusable', {server, detail});
    }
  }
}
