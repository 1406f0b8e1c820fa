import {FleetServer} from '../fleet/index.js';
import {RequestFeatures} from '../server_model/index.js';
import {AnswerRelay} from './answer_relay.js';
import {ExchangeResult, ForwardParams, RunCopy} from './exchange.js';
import {RacingRun} from './racing_run.js';
import {RelayRecord} from './relay_record.js';
import {RelayRequest} from './relay_request.js';

/** Where an attempt is sent. */
export interface AttemptTarget {
  readonly server: FleetServer;
  /** Predicted time to the first token, in milliseconds. */
  readonly predictedMs: number;
  /** What the prediction is based on, if the time of the answer is learned. */
  readonly features?: RequestFeatures;
  /** Copy of the run's KV cache from which the server continues. */
  readonly copy?: RunCopy;
  /**
   * Forwards the request to another host, which chooses the server; if absent, the request
   * is sent to `server`.
   */
  readonly forward?: (
    params: Omit<ForwardParams, 'refusal'>,
    signal: AbortSignal,
  ) => Promise<ExchangeResult>;
  /** Version at which a stream that goes on began; absent if the stream begins. */
  readonly boundVersion?: string;
}

/** Parameters of one attempt. */
export interface AttemptParams extends AttemptTarget {
  /** Index of the attempt, from 0, for the log. */
  readonly number: number;
  /** Rank of the request at the server, from 0 (most urgent) to 9; see `rankUrgency`. */
  readonly urgency: number;
  /**
   * Called while the server sends nothing for too long; absent if no other server may be
   * tried. Only then the time without a response is measured.
   */
  readonly onSilent?: () => void;
  /** Whether the run begins beside one whose server is silent. */
  readonly isProbe?: boolean;
  /** Ids of the servers that must not get the request again. */
  readonly excluded: ReadonlySet<string>;
}

/** State of the request that its attempts share. */
export interface AttemptContext {
  readonly request: RelayRequest;
  readonly answer: AnswerRelay;
  readonly record: RelayRecord;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly cancelled: AbortSignal;
  readonly run: RacingRun;
  /** Resolves to whether the server may have stopped the run, as it was asked to. */
  readonly mayBeStopped: () => Promise<boolean>;
}
