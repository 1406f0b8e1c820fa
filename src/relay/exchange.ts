import {FleetServer} from '../fleet/index.js';
import {StatedLimit} from '../limits/index.js';
import {RawHeader, RelayRequest} from './relay_request.js';

/** One sending of a request to one server. */
export interface ExchangeOrder {
  readonly request: RelayRequest;
  readonly server: FleetServer;
  /** Time the server may take, in milliseconds. */
  readonly remainingMs: number;
  /** Rank at the server; 0 is the most urgent. */
  readonly urgency: number;
  /**
   * Tells whether the server still accepts the request; called on an open channel,
   * immediately before the first byte is written.
   */
  readonly maySend: () => boolean;
  /** Event after which a stream is to go on. */
  readonly lastEventId?: string;
  /** Copy of the run's memory to go on from. */
  readonly copy?: RunCopy;
}

/** A copy of a run's memory at another server. */
export interface RunCopy {
  /** Address of the server that the run was copied from. */
  readonly source: string;
  readonly handle: string;
}

/** How a sending can end before there is an answer to relay. */
export const ExchangeKind = {
  ANSWERED: 'answered',
  /** It certainly did not run and never will. */
  NOT_RUN: 'not-run',
  /** It may have run. */
  LOST: 'lost',
} as const;

/** An answer whose body is still arriving. */
export interface ExchangeAnswer {
  readonly kind: typeof ExchangeKind.ANSWERED;
  readonly status: number;
  readonly headers: readonly RawHeader[];
  /** What it states of the server's limit; absent where that is not read. */
  readonly limit?: StatedLimit;
  /** Throws when the answer breaks off; ends only when it is whole. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** A sending without an answer that can be relayed. */
export interface ExchangeFailure {
  readonly kind: typeof ExchangeKind.NOT_RUN | typeof ExchangeKind.LOST;
  /** What happened, for the log. */
  readonly detail: string;
  /** Whether the server had no room. */
  readonly full?: boolean;
  /** Whether no byte of the request left this host. */
  readonly unsent?: boolean;
  /** Whether nothing was sent because the server no longer accepts requests. */
  readonly notAccepting?: boolean;
  /** Whether the server answered what cannot be used, so that it is there. */
  readonly spoiled?: boolean;
  /** What the rejection states of the server's limit; absent without an answer. */
  readonly limit?: StatedLimit;
}

/** How a sending went. */
export type ExchangeResult = ExchangeAnswer | ExchangeFailure;

/** Sends a request to a server, once; aborting cancels it there. */
export type Exchange = (
  order: ExchangeOrder,
  signal: AbortSignal,
) => Promise<ExchangeResult>;
