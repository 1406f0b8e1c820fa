import {Repeat} from '../catalog/index.js';
import {AttemptRules} from './attempt_rules.js';

/**
 * The attempts at one request: which servers have had it, what may have run, and
 * whether another server may be asked. What may run once is sent on only while
 * it is certain that nobody has run it.
 */
export class Attempts {
  private readonly tried = new Set<string>();
  private begun = 0;
  private runs = 0;
  private notRun = 0;

  constructor(private readonly rules: AttemptRules) {}

  /** Servers that must not get the request again. */
  get excluded(): ReadonlySet<string> {
    return this.tried;
  }

  /** Returns how many attempts were begun. */
  count(): number {
    return this.begun;
  }

  /** Tells whether any server may have run the request. */
  mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** Begins an attempt; returns whether the retry budget allows it. */
  begin(): boolean {
    if (this.begun > 0 && !this.rules.spendRetry()) {
      return false;
    }
    this.begun++;
    return true;
  }

  /** Leaves a server out from now on. */
  exclude(server: string): void {
    this.tried.add(server);
  }

  /**
   * Notes an attempt without a final answer.
   * @param server - Who was asked.
   * @param mayHaveRun - Whether the server may have run the request.
   * @returns Whether another server may be asked.
   */
  fail(server: string, mayHaveRun: boolean): boolean {
    this.exclude(server);
    if (!mayHaveRun) {
      this.notRun++;
      return this.notRun <= this.rules.maxNotRun;
    }
    this.runs++;
    return this.allowsAnotherAfter(this.runs);
  }

  /** Tells whether another server may be asked if the next one fails. */
  hasSpare(): boolean {
    return this.allowsAnotherAfter(this.runs + 1);
  }

  private allowsAnotherAfter(runs: number): boolean {
    const {repeat, maxRuns} = this.rules;
    return repeat !== Repeat.ONCE && runs < maxRuns;
  }
}
