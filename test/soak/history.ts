/** How often a request may run. */
export const RequestKind = {
  /** Any number of times. */
  REPEATABLE: 'repeatable',
  /** At most once. */
  ONCE: 'once',
  /** A stream that may go on at another server after its last event. */
  STREAM: 'stream',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** One sending of a request, as its caller saw it. Times in ms of the run. */
export interface Sending {
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  readonly customer: string;
  readonly host: string;
  /** Start of the host's process, from 1. */
  readonly start: number;
  readonly sentMs: number;
  endMs: number;
  /** 0 while there is no answer, and where the channel closed without one. */
  status: number;
  answer: string;
  /** Whether the answer came to its end. */
  whole: boolean;
  signed: boolean;
  retryAfter: number | undefined;
}

/** One request as it reached a server. */
export interface Arrival {
  readonly id: string;
  /** One start of a server. */
  readonly server: string;
  readonly atMs: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly customer: string;
  /** Headers that no server may see. */
  readonly leaked: readonly string[];
  /** Event after which a stream was to go on; 0 for a beginning. */
  readonly after: number;
  /** Whether the server began to work on it. */
  ran: boolean;
  /** Body of its whole answer; absent where it gave none. */
  answer: string | undefined;
}

/** A server that said it leaves. */
export interface Leaving {
  readonly server: string;
  /** When the store had its word. */
  readonly atMs: number;
}

/** A host's log entry that a server is draining or gone. */
export interface ObservedLeaving {
  readonly host: string;
  readonly server: string;
  readonly atMs: number;
}

/** A limit while a server named it. */
export interface NamedLimit {
  readonly server: string;
  /** Requests a second from all hosts together. */
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A configuration that the store took. */
export interface Change {
  readonly version: number;
  readonly ackMs: number;
  /** Path that it added. */
  readonly added: string;
  /** Path that it removed; empty for none. */
  readonly removed: string;
}

/** A call for a duty, as the cloud took it. */
export interface DutyCall {
  readonly atMs: number;
  readonly holder: string;
  readonly fence: number;
  readonly window: number;
  readonly counts: string;
}

/** A fault while it lasted. */
export interface FaultSpan {
  readonly kind: string;
  /** Host or server that it struck; empty where it struck all. */
  readonly target: string;
  readonly fromMs: number;
  toMs: number;
  /** Whether it was planned work, which may lose nothing. */
  readonly planned: boolean;
}

/** Bounds that were in force. */
export interface Bounds {
  readonly contactMs: number;
  readonly applyMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  readonly quotaWindowMs: number;
  readonly quotaOverage: number;
  readonly quotaSlack: number;
  /** Units a second and at once, by customer. */
  readonly rates: ReadonlyMap<string, readonly [rate: number, burst: number]>;
}

/** All that was seen from outside in one run. */
export interface History {
  readonly bounds: Bounds;
  readonly sendings: Sending[];
  readonly arrivals: Arrival[];
  readonly leavings: Leaving[];
  readonly words: ObservedLeaving[];
  readonly limits: NamedLimit[];
  readonly changes: Change[];
  readonly duties: DutyCall[];
  readonly faults: FaultSpan[];
  /** Body of the request that ends servers. */
  readonly endingBody: string;
  /** When a server ended under that request. */
  readonly endsMs: number[];
  /** Ids whose end the hosts logged, by host. */
  readonly logged: Map<string, Set<string>>;
  /** Ends of hosts' processes that nobody asked for. */
  readonly ownExits: string[];
  /** Sent after everything was mended, and served. */
  recovery: {asked: number; served: number};
}

/** Makes a history in which nothing has happened. */
export function createHistory(bounds: Bounds, endingBody: string): History {
  return {
    bounds,
    sendings: [],
    arrivals: [],
    leavings: [],
    words: [],
    limits: [],
    changes: [],
    duties: [],
    faults: [],
    endingBody,
    endsMs: [],
    logged: new Map(),
    ownExits: [],
    recovery: {asked: 0, served: 0},
  };
}
