import {Repeat} from '../catalog/index.js';
import {AttemptRules} from './attempt_rules.js';

/**
 * The attempts at one request: which servers were tried, how many may have run
 * it, and whether another server may be tried. A request that may run only once
 * is retried only as long as it is certain that no server has run it.
 */
export class Attempts {
  private readonly tried = new Set<string>();
  private started = 0;
  private runs = 0;
  private unexecuted = 0;
  /** Attempts of which no byte was sent to a server. */
  private unsent = 0;
  /** Whether the retry of the next attempt has been taken from the budget. */
  private hasReservedRetry = false;

  constructor(private readonly rules: AttemptRules) {}

  /** Servers that must not get the request again. */
  get excluded(): ReadonlySet<string> {
    return this.tried;
  }

  /** Returns the number of started attempts. */
  count(): number {
    return this.started;
  }

  /** Returns whether any server may have run the request. */
  mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /**
   * Starts an attempt; returns whether the retry budget allows it. An attempt
   * needs no retry if no byte was sent before: no server gets a second request.
   */
  begin(): boolean {
    if (this.started > this.unsent) {
      if (!this.reserveRetry()) {
        return false;
      }
      this.hasReservedRetry = false;
    }
    this.started++;
    return true;
  }

  /** Takes the retry of the next attempt now; returns whether the retry budget allows it. */
  reserveRetry(): boolean {
    this.hasReservedRetry ||= this.rules.spendRetry();
    return this.hasReservedRetry;
  }

  /** Returns whether the request may be run anew, and not only go on from a copy of its run. */
  mayRunAnew(): boolean {
    return this.rules.repeat !== Repeat.ONCE || this.runs === 0;
  }

  /** Excludes a server from further attempts. */
  exclude(server: string): void {
    this.tried.add(server);
  }

  /**
   * Records an attempt without a final answer, and excludes its server.
   * @param server - The server that was tried.
   * @param mayHaveRun - Whether the server may have run the request.
   * @param wasSent - Whether any byte of the request may have been sent.
   * @returns Whether another server may be tried.
   */
  recordFailure(server: string, mayHaveRun: boolean, wasSent = true): boolean {
    this.exclude(server);
    this.unsent += wasSent ? 0 : 1;
    if (!mayHaveRun) {
      this.unexecuted++;
      return this.unexecuted <= this.rules.maxUnexecuted;
    }
    this.runs++;
    return this.allowsAnotherAfter(this.runs);
  }

  /**
   * Records an attempt whose run was stopped, so that it goes on from a copy, and excludes its
   * server.
   */
  recordStopped(server: string): void {
    this.exclude(server);
    this.runs++;
  }

  /**
   * Records an attempt that was given up, since another one goes on, and excludes its server.
   * @param server - The server that was tried.
   * @param wasSent - Whether any byte of the request may have been sent.
   */
  recordSuperseded(server: string, wasSent: boolean): void {
    this.exclude(server);
    this.runs += wasSent ? 1 : 0;
    this.unsent += wasSent ? 0 : 1;
  }

  /**
   * Returns whether another server may be tried besides attempts in progress.
   * @param inProgress - Number of attempts in progress, each of which may run the request.
   */
  mayTryAnother(inProgress: number): boolean {
    return (
      this.unexecuted <= this.rules.maxUnexecuted &&
      this.allowsAnotherAfter(this.runs + inProgress)
    );
  }

  private allowsAnotherAfter(runs: number): boolean {
    const {repeat, maxRuns} = this.rules;
    return repeat !== Repeat.ONCE && runs < maxRuns;
  }
}
