import {Attempts} from '../attempts/index.js';
import {ExecutionStatus, Problem, problems} from '../errors/index.js';
import {AnswerRelay} from './answer_relay.js';
import {AnswerSink} from './answer_sink.js';
import {BufferedAnswer} from './buffered_answer.js';
import {Refusals} from './refusals.js';
import {LimitAwareDecision} from './server_choice.js';

/** What the end of a request depends on. */
export interface RequestEndParams {
  readonly sink: AnswerSink;
  readonly answer: AnswerRelay;
  readonly attempts: Attempts;
  readonly refusals: Refusals;
  /** Returns whether the deadline of the request has passed. */
  readonly isDeadlinePassed: () => boolean;
}

const ANSWERED = 'answered';

/** Ends a request without a complete answer, and keeps its outcome for the log. */
export class RequestEnd {
  private outcome: string = ANSWERED;
  private detail = '';
  /** Last error response of a server, relayed if no later attempt succeeds. */
  private errorResponse: BufferedAnswer | undefined;

  constructor(private readonly params: RequestEndParams) {}

  /** Returns the outcome, and the description of the last failure; empty on success. */
  describe(): {readonly outcome: string; readonly detail: string} {
    const {outcome} = this;
    return {outcome, detail: outcome === ANSWERED ? '' : this.detail};
  }

  /** Records the failure of an attempt, in place of earlier ones. */
  setFailure(detail: string, errorResponse?: BufferedAnswer): void {
    this.detail = detail;
    this.errorResponse = errorResponse ?? this.errorResponse;
  }

  /**
   * Appends to the detail that is recorded if the request is not answered; it may be the
   * first part of it.
   */
  addDetail(detail: string): void {
    this.detail = this.detail === '' ? detail : `${this.detail}; ${detail}`;
  }

  /** Ends the request of a caller that has disconnected. */
  endDisconnected(): void {
    this.outcome = 'caller-left';
    this.params.sink.disconnect();
  }

  /** Refuses the request, which was not sent. */
  refuse(problem: Problem): void {
    this.outcome = problem.kind;
    this.params.sink.refuse(problem);
  }

  /**
   * Ends the request without a complete answer. An answer that was begun is broken off.
   * Otherwise the last error response of a server is relayed, or if there is none, the
   * request is refused.
   * @param refusal - Reason to refuse the request if no server may have run it; if absent,
   *   the reason is lack of capacity.
   * @returns Always `false`: no attempt follows.
   */
  fail(refusal?: Problem): false {
    const {answer, sink} = this.params;
    if (answer.hasBegun()) {
      this.outcome = 'broken-off';
      sink.disconnect();
      return false;
    }
    const {errorResponse} = this;
    if (errorResponse === undefined) {
      this.refuse(this.createProblem(refusal));
      return false;
    }
    this.outcome = `server-status-${errorResponse.status}`;
    sink.begin(errorResponse.status, errorResponse.headers);
    void sink.write(errorResponse.body).then(() => sink.end());
    return false;
  }

  /**
   * Ends the request because no server is available for it, or only servers that rate
   * limits or backoffs exclude. Returns `false`.
   * @param decision - The choice that found none.
   * @param boundVersion - Version at which a stream that goes on began.
   */
  failWithoutServer(
    {withheld, backingOff}: LimitAwareDecision,
    boundVersion: string | undefined,
  ): false {
    const {refusals} = this.params;
    if (withheld.length > 0) {
      this.addDetail('limits of servers used up');
      return this.fail(refusals.createLimited(withheld));
    }
    if (backingOff.length > 0) {
      this.addDetail('servers asked for a time without requests');
      return this.fail(refusals.createBackingOff(backingOff));
    }
    if (boundVersion !== undefined) {
      this.addDetail(`no server of version ${boundVersion} available`);
      return this.fail(refusals.createVersionUnavailable());
    }
    this.detail ||= 'no server available';
    return this.fail();
  }

  private createProblem(refusal: Problem | undefined): Problem {
    const {attempts, refusals, isDeadlinePassed} = this.params;
    if (attempts.mayHaveRun()) {
      return isDeadlinePassed()
        ? problems.deadlinePassed(ExecutionStatus.UNKNOWN)
        : problems.serverLost(this.detail);
    }
    return refusal ?? refusals.createNoRoom();
  }
}
