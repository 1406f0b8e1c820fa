/** How often a request may run. */
export const RequestKind = {
  /** Any number of times. */
  REPEATABLE: 'repeatable',
  /** At most once. */
  ONCE: 'once',
  /** A stream that may be resumed at another server after its last event. */
  STREAM: 'stream',
  /** A stream that may run at most once. */
  STREAM_ONCE: 'stream-once',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** Returns whether a request may run at most once. */
export function runsOnce(kind: RequestKind): boolean {
  return kind === RequestKind.ONCE || kind === RequestKind.STREAM_ONCE;
}

/** Returns how many servers one request may reach. */
export function getMaxAttempts(kind: RequestKind): number {
  return runsOnce(kind) ? 1 : 2;
}

/** Returns whether the answer of a request is a stream. */
export function isStream(kind: RequestKind): boolean {
  return kind === RequestKind.STREAM || kind === RequestKind.STREAM_ONCE;
}

/** A request as its caller sent it and saw it end. Times are in milliseconds of the run. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  readonly customer: string;
  readonly host: string;
  /** Incarnation of the host process, counted from 1. */
  readonly start: number;
  readonly sentMs: number;
  /** Time after which the caller's deadline or the timeout of the route ends it. */
  readonly limitMs: number;
  /** Whether its caller left it before it ended. */
  hasLeft: boolean;
  /** Whether its prompt has the part that crashes servers. */
  readonly hasCrashingPart: boolean;
  endMs: number;
  /** 0 until there is an answer, and if the connection closed without one. */
  status: number;
  answer: string;
  /** Whether the answer arrived completely. */
  whole: boolean;
  /** Whether nothing but the end of the connection marks the end of the answer. */
  endsWithConnection: boolean;
  signed: boolean;
  retryAfter: number | undefined;
  /** Stream that the caller takes up; absent if the request begins one. */
  readonly resumed?: ResumedStream;
}

/** A stream whose first events the caller has from earlier requests. */
export interface ResumedStream {
  /** Id of the request that brought its first event. */
  readonly id: string;
  /** Number of its events that the caller has. */
  readonly eventCount: number;
}

/** One request as it reached a server. */
export interface Arrival {
  readonly id: string;
  /** Incarnation of the server. */
  readonly server: string;
  readonly atMs: number;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly customer: string;
  /** Headers that arrived although no server may see them. */
  readonly leaked: readonly string[];
  /** Whether its prompt has the part that crashes servers. */
  readonly hasCrashingPart: boolean;
  /** Event after which a stream was to be resumed; 0 for its beginning. */
  readonly after: number;
  /** Whether the server started to process it. */
  ran: boolean;
  /** Times at which the server sent the events of a stream. */
  readonly eventsMs: number[];
  /** Body of the complete answer; undefined if the server gave none. */
  answer: string | undefined;
}

/** A server that announced that it leaves, or whose entry was removed. */
export interface LeavingServer {
  readonly server: string;
  /** Time at which the store recorded it. */
  readonly atMs: number;
}

/** A host's log entry that a server is draining or gone. */
export interface LoggedLeaving {
  readonly host: string;
  readonly server: string;
  readonly atMs: number;
}

/** An answer in which a server stated that it leaves. */
export interface LeavingAnswer {
  /** Request that was answered. */
  readonly id: string;
  readonly server: string;
}

/** A rejection in which a server asked a host for a time without requests. */
export interface RequestedBackoff {
  /** Request that was rejected. */
  readonly id: string;
  readonly server: string;
  readonly atMs: number;
  readonly forMs: number;
}

/** The end of a server: it crashed, or left. */
export interface ServerEnd {
  readonly server: string;
  readonly atMs: number;
}

/** An answer whose bytes do not end. */
export interface EndlessAnswer {
  readonly id: string;
  readonly server: string;
  /** Bytes that the server wrote. */
  bytes: number;
  /** Time at which its connection was closed; infinite if it was not. */
  closedMs: number;
}

/** A limit, and the time for which a server announced it. */
export interface AnnouncedLimit {
  readonly server: string;
  /** Requests per second from all hosts together. */
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A configuration that the store accepted. */
export interface Change {
  readonly version: number;
  readonly ackMs: number;
  /** Path of the route that it added. */
  readonly added: string;
  /** Path of the route that it removed; empty if there is none. */
  readonly removed: string;
}

/** A call for a duty, as the cloud received it. */
export interface DutyCall {
  readonly atMs: number;
  readonly holder: string;
  readonly fence: number;
  readonly window: number;
  readonly counts: string;
}

/** A fault, and the time for which it lasted. */
export interface FaultSpan {
  readonly kind: string;
  /** Host or server that it affected; empty if it affected all. */
  readonly target: string;
  readonly fromMs: number;
  toMs: number;
  /** Whether it was planned work, which must not lose any request. */
  readonly planned: boolean;
}

/** Bounds in force during a run. */
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
  /** Units per second and burst, by customer. */
  readonly rates: ReadonlyMap<string, readonly [rate: number, burst: number]>;
}

/** Everything that was observed from outside in one run. */
export interface History {
  readonly bounds: Bounds;
  readonly sendings: SentRequest[];
  readonly arrivals: Arrival[];
  readonly leavings: LeavingServer[];
  /** Log entries of the hosts about leaving servers. */
  readonly words: LoggedLeaving[];
  readonly limits: AnnouncedLimit[];
  readonly serverEnds: ServerEnd[];
  readonly endlessAnswers: EndlessAnswer[];
  readonly leavingAnswers: LeavingAnswer[];
  readonly backoffs: RequestedBackoff[];
  readonly changes: Change[];
  readonly duties: DutyCall[];
  readonly faults: FaultSpan[];
  /** Body of the request that crashes servers. */
  readonly endingBody: string;
  /** Times at which a server crashed because of that request. */
  readonly endsMs: number[];
  /** Times at which a server crashed because of the part of a prompt that crashes servers. */
  readonly partCrashesMs: number[];
  /** Ids of the requests whose outcome was logged, by host. */
  readonly logged: Map<string, Set<string>>;
  /** Exits of host processes that were not requested. */
  readonly ownExits: string[];
  /** Requests sent after all faults had ended, and those of them that were served. */
  recovery: {asked: number; served: number};
}

/** Creates an empty history. */
export function createHistory(bounds: Bounds, endingBody: string): History {
  return {
    bounds,
    sendings: [],
    arrivals: [],
    leavings: [],
    words: [],
    limits: [],
    serverEnds: [],
    endlessAnswers: [],
    leavingAnswers: [],
    backoffs: [],
    changes: [],
    duties: [],
    faults: [],
    endingBody,
    endsMs: [],
    partCrashesMs: [],
    logged: new Map(),
    ownExits: [],
    recovery: {asked: 0, served: 0},
  };
}
