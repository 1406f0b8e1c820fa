import {LoadReport} from '../backend/index.js';
import {
  RequestFeatures,
  RequestKind,
  ServerTimes,
} from '../server_model/index.js';

/** Learned times of a server, for one kind of request. */
export interface LearnedTimes extends ServerTimes {
  readonly kind: RequestKind;
}

/** What this host knows about a server when it chooses one. */
export interface ServerKnowledge {
  readonly server: string;
  readonly dataCentre: string;
  /** Last load report of the server; absent if none is recent. */
  readonly load?: LoadReport;
  /**
   * Requests sent to the server since the load report was made, as estimated
   * for all hosts from those of this one.
   */
  readonly sentSinceReport: number;
  /**
   * In-flight requests of this host at the server: exact, but without other
   * hosts.
   */
  readonly inFlight: number;
  /** Tokens of the prompt that the server is assumed to have cached. */
  readonly cachedTokens: number;
  /**
   * Prompt tokens sent to the server and not yet computed, as estimated for all
   * hosts.
   */
  readonly pendingPrefillTokens: number;
  /** Smoothed delay of its answers beyond the prediction, in milliseconds. */
  readonly excessMs: number;
  /** Learned times of the server; absent if the servers' times are not learned. */
  readonly learned?: LearnedTimes | undefined;
  /**
   * Additional cost in milliseconds if the server is in another data centre.
   */
  readonly hopMs: number;
  /** Time to open a connection to the server; 0 or absent if one is idle. */
  readonly connectMs?: number | undefined;
  /**
   * Whether the server is ejected after failures, or stalled. It is then used
   * only if no other server is left.
   */
  readonly ejected: boolean;
}

/** Properties of a request on which the choice of a server depends. */
export interface RoutingRequest {
  readonly promptTokens: number;
  /** Mean tokens of an answer of this deployment. */
  readonly expectedTokens: number;
  /** Hash of the first blocks of the prompt; absent for short prompts. */
  readonly prefix?: number;
  /**
   * Servers that must not get the request, for example after they failed it.
   */
  readonly excluded: ReadonlySet<string>;
  /**
   * Time to the first token, in milliseconds, up to which an earlier one has no
   * benefit for the caller. If absent, the earliest predicted first token is
   * always preferred.
   */
  readonly slackMs?: number;
  /**
   * Time until a server starts with the request, in milliseconds, beyond which the request
   * would be refused; absent if it is not refused for this reason.
   */
  readonly maxWaitMs?: number;
}

/** A server with its predicted time to the first token. */
export interface ScoredServer {
  readonly server: string;
  /** Predicted time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /**
   * Part of `firstTokenMs` for queueing: waiting for a free slot, and excess
   * delay.
   */
  readonly queueMs: number;
  /**
   * Time until the server starts the prefill of the request, without recently
   * observed delays, in milliseconds.
   */
  readonly waitMs?: number;
  /** What the prediction is based on, if the servers' times are learned. */
  readonly features?: RequestFeatures;
}

/** A routing decision, with the considered alternatives for the log. */
export interface RoutingDecision {
  /** Absent if no server can be used. */
  readonly chosen?: ScoredServer;
  readonly runnersUp: readonly ScoredServer[];
  readonly reason: string;
}
