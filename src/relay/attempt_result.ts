import {Problem} from '../errors/index.js';
import {RequestOutcome} from '../fleet/index.js';
import {BufferedAnswer} from './buffered_answer.js';

/** Outcome of an attempt. */
export const AttemptOutcome = {
  /** The complete answer was relayed to the caller. */
  DONE: 'done',
  /** The server answered with a status other than 200 to 299. */
  FAILED: 'failed',
  /** The server did not run the request, and will not run it later. */
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
  /**
   * Outcome as it counts for the health of the server: an error status below 500 counts
   * as `SUCCEEDED`, although `outcome` is `FAILED`.
   */
  readonly serverOutcome: RequestOutcome;
  /**
   * Time from the start of the attempt until the first byte of the answer, in
   * milliseconds; absent if none arrived.
   */
  readonly firstMs?: number;
  /** Time from the start to the end of the attempt, in milliseconds. */
  readonly wholeMs: number;
  /** Error response of the server, for relaying. */
  readonly failure?: BufferedAnswer;
  /** Whether any byte of the request may have been sent; by default, it was. */
  readonly wasSent?: boolean;
  /**
   * Whether the connection to the server could not be opened, broke, or brought nothing in
   * time; the fault may then be this host's own.
   */
  readonly isDisconnected?: boolean;
  /** Problem with which the host that the request was forwarded to refused it. */
  readonly refusal?: Problem;
  /** Id of the server that another host chose; absent if the request was not forwarded. */
  readonly forwardedTo?: string;
  /**
   * Time from sending until the run was lost because the server terminated or closed the
   * connection without a complete answer, in milliseconds; absent otherwise.
   */
  readonly lostAfterMs?: number;
}
