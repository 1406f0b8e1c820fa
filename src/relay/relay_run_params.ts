import {FleetServer} from '../fleet/index.js';
import {WatchedContent} from '../quarantine/index.js';
import {FoundOrigin} from '../stream_versions/index.js';
import {AnswerSink} from './answer_sink.js';
import {RelayRequest} from './relay_request.js';

/** Limits of the attempts at a request that another host has forwarded. */
export interface ForwardedAttempts {
  /** Ids of the servers that must not get the request again. */
  readonly excluded: readonly string[];
  /** Called with each server that the request is sent to. */
  readonly onServer: (server: Pick<FleetServer, 'id' | 'version'>) => void;
  /**
   * Called if a server has rejected the request, and another one may get it with a retry
   * from the budget of the host that has received it from its caller.
   */
  readonly onRejected: () => void;
  /** Version at which a stream that goes on began; absent if the stream begins. */
  readonly boundVersion?: string;
}

/** Parameters of a `RelayRun`. */
export interface RelayRunParams {
  readonly request: RelayRequest;
  readonly content: WatchedContent;
  /** Service that was selected from the route's weighted services. */
  readonly service: string;
  /** Receives the answer. */
  readonly sink: AnswerSink;
  /** Aborted when the caller disconnects. */
  readonly disconnected: AbortSignal;
  /** Present if another host has forwarded the request. */
  readonly forwarded?: ForwardedAttempts;
  /** Where a stream that the caller takes up, or another host forwards, began. */
  readonly origin?: FoundOrigin;
}
