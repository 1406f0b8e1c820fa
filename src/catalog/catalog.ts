/** Whether a request may be sent to a second server after an attempt failed. */
export const Repeat = {
  /** May be executed on several servers. */
  ANY: 'any',
  /** May be executed at most once. */
  ONCE: 'once',
  /** May resume at another server after the last delivered event. */
  RESUME: 'resume',
} as const;
export type Repeat = (typeof Repeat)[keyof typeof Repeat];

/** A service that receives a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Routing rule: which requests go to which services, and how they are served. */
export interface Route {
  readonly name: string;
  /** Host name in the requests. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly repeat: Repeat;
  readonly streaming: boolean;
  /** Maximum time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency target: time within which an answer has its full value, in milliseconds. */
  readonly targetMs: number;
  /** Target for the time between the events of a stream, in milliseconds. */
  readonly gapTargetMs: number;
  /** Urgency rank; 0 is the most urgent. */
  readonly urgency: number;
  /** Maximum number of servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  readonly split: readonly WeightedService[];
}

/** Properties of a service's model engines. */
export interface EngineTraits {
  /** Generations decoded concurrently. */
  readonly slots: number;
  /** Tokens of running requests and cached prompts that fit in its memory. */
  readonly cacheTokens: number;
  /** Whether a running generation can be copied to another server. */
  readonly moves: boolean;
}

/** Bounds and prices for ordering servers of a service. */
export interface Scaling {
  /** Minimum number of servers per data centre, of both kinds together. */
  readonly min: number;
  /** Maximum number of servers per data centre, of both kinds together. */
  readonly max: number;
  /** Time from the order to the first request, in milliseconds. */
  readonly bootMs: number;
  /** Price of a reclaimable server relative to an on-demand one; 1 if there are none. */
  readonly reclaimablePrice: number;
  /** Price per server and second, by data centre. */
  readonly prices: ReadonlyMap<string, number>;
}

/** A service: a set of backend servers to which routes lead. */
export interface Service {
  readonly name: string;
  /** Connections that each server accepts from all callers together. */
  readonly maxConnections: number;
  /** Present if its servers are model engines. */
  readonly engine?: EngineTraits;
  /** Present if its servers can be ordered. */
  readonly scaling?: Scaling;
}

/** Rate limit of a customer, over all hosts together. */
export interface Rate {
  /** Units per second; 0 for no limit. */
  readonly perSecond: number;
  readonly burst: number;
  /** Whether units are tokens; otherwise requests. */
  readonly inTokens: boolean;
  /** Tokens charged for a request that declares none. */
  readonly plainTokens: number;
}

/** A customer to whom requests are attributed. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Urgency rank that takes precedence over the route's; 0 is the most urgent. */
  readonly urgency?: number;
  readonly rate: Rate;
}

/** Size and time limits for callers. */
export interface Limits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time to receive the head of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Maximum time that a connection may be idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration for relayed requests. */
export interface Catalog {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Empty if callers need no keys. */
  readonly accounts: readonly Account[];
  readonly limits: Limits;
}
