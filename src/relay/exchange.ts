import {Framing, IncompleteReason} from '../answer/index.js';
import {Problem} from '../errors/index.js';
import {FleetServer} from '../fleet/index.js';
import {RawHeader, RelayRequest} from './relay_request.js';
import {ServerStatement} from './server_statement.js';

/** Parameters of one exchange with a server. */
export interface ExchangeParams {
  readonly request: RelayRequest;
  readonly server: FleetServer;
  /**
   * Time that the server may take, in milliseconds. It decreases while a connection is
   * opened: read it when the request is sent.
   */
  readonly remainingMs: number;
  /** Rank at the server; 0 is the most urgent. */
  readonly urgency: number;
  /**
   * Tells whether the request is still to be sent: the server accepts it, the caller waits
   * and the deadline has not passed. Called on an open connection, immediately before the
   * first byte is written.
   */
  readonly maySend: () => boolean;
  /**
   * Lets events that wait in the kernel be handled, such as that a caller has closed its
   * connection; called before `maySend`. Returns `undefined` if the event loop is on time.
   */
  readonly handlePendingEvents?: () => Promise<void> | undefined;
  /** Id of the event after which the server continues a stream. */
  readonly lastEventId?: string;
  /** Copy of the run's memory from which the server continues. */
  readonly copy?: RunCopy;
}

/** A copy of a run's memory at another server. */
export interface RunCopy {
  /** Address of the server that the run was copied from. */
  readonly source: string;
  readonly handle: string;
}

/** Kinds of result of an exchange. */
export const ExchangeKind = {
  /** An answer that can be relayed has begun. */
  ANSWERED: 'answered',
  /** The request did not run at this server, and will not. */
  NOT_RUN: 'not-run',
  /** No answer that can be relayed arrived; the request may have run. */
  LOST: 'lost',
} as const;

/** An answer whose body is still arriving. */
export interface ExchangeAnswer {
  readonly kind: typeof ExchangeKind.ANSWERED;
  readonly status: number;
  readonly headers: readonly RawHeader[];
  /** How the end of the body is marked. */
  readonly framing: Framing;
  /** What the answer states about its server. */
  readonly statement?: ServerStatement;
  /** Throws `IncompleteAnswer` if the body breaks off; ends only if it is complete. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Id of the server that another host chose; absent if the request was not forwarded. */
  readonly server?: string;
  /** Version of that server's software, if the other host tells it. */
  readonly version?: string;
}

/** An exchange that brought no answer that can be relayed. */
export interface ExchangeFailure {
  readonly kind: typeof ExchangeKind.NOT_RUN | typeof ExchangeKind.LOST;
  /** Description of the failure, for the log. */
  readonly detail: string;
  /** Whether the server refused the request for lack of capacity. */
  readonly full?: boolean;
  /** Whether no byte of the request was sent. */
  readonly unsent?: boolean;
  /** Whether nothing was sent because the server no longer accepts requests. */
  readonly notAccepting?: boolean;
  /** Why the answer is not complete; absent if none had begun. */
  readonly reason?: IncompleteReason;
  /** Whether an unusable answer arrived, which shows that the server is running. */
  readonly corrupted?: boolean;
  /** Problem with which the host that the request was forwarded to refused it. */
  readonly refusal?: Problem;
  /** Id of the server that another host chose; absent if the request was not forwarded. */
  readonly server?: string;
  /** What a rejection states about its server; absent if the server did not answer. */
  readonly statement?: ServerStatement;
}

/** Result of an exchange. */
export type ExchangeResult = ExchangeAnswer | ExchangeFailure;

/**
 * Sends a request to a server once and receives the head of its answer; aborting the
 * signal cancels the request at the server.
 */
export type Exchange = (
  params: ExchangeParams,
  signal: AbortSignal,
) => Promise<ExchangeResult>;

/** Parameters for sending a request by way of another host. */
export interface ForwardParams extends Omit<
  ExchangeParams,
  'server' | 'copy' | 'urgency'
> {
  /** Service whose servers this host cannot reach, or has no slots of. */
  readonly service: string;
  /** Ids of the servers that must not get the request again. */
  readonly excluded: ReadonlySet<string>;
  /** Version at which a stream that goes on began; absent if the stream begins. */
  readonly boundVersion?: string;
  /** Problem with which the request is refused if no other host takes it. */
  readonly refusal: Problem;
}

/**
 * Sends a request once to a server that another host chooses, and receives the head of the
 * answer; aborting the signal cancels the request at the other host.
 */
export type Forward = (
  params: ForwardParams,
  signal: AbortSignal,
) => Promise<ExchangeResult>;
