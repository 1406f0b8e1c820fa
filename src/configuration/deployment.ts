/** Kinds of thing that a deployment serves. */
export const TargetKind = {MODEL: 'model', SERVICE: 'service'} as const;

/** Whether calls to a plain service may be repeated. */
export const Repeat = {
  /** Any call may be sent twice. */
  SAFE: 'safe',
  /** The service itself answers a repeated key with its first answer. */
  DEDUPLICATED: 'deduplicated',
  /** A call runs at most once; only GET, HEAD and OPTIONS may be sent twice. */
  NEVER: 'never',
} as const;
export type Repeat = (typeof Repeat)[keyof typeof Repeat];

/** A model, in one version, with its adapters. */
export interface ModelTarget {
  readonly kind: 'model';
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** A plain service. */
export interface ServiceTarget {
  readonly kind: 'service';
  /** Name that server records give in `serves`. */
  readonly service: string;
  readonly repeat: Repeat;
  /** Whether the service answers "GET /outcomes/KEY". */
  readonly answersLookups: boolean;
}

/** Latencies to be met for 95 in 100 requests. */
export interface LatencyTarget {
  /** Milliseconds to the first token or to the answer of a service. */
  readonly firstTokenMs: number;
  /** Milliseconds between tokens. */
  readonly betweenTokensMs: number;
}

/** What a deployment's losses cost it, in any one unit. */
export interface LossWeights {
  /** Cost of one recomputed token. */
  readonly recomputedToken: number;
  /** Cost of one second past the latency target. */
  readonly lateSecond: number;
}

/** What runs where, at what priority, and for which customers. */
export interface Deployment {
  readonly name: string;
  readonly target: ModelTarget | ServiceTarget;
  /** Names of the customers that may use it; empty for all. */
  readonly customers: readonly string[];
  /** Data centres it runs in; empty for all. */
  readonly dataCentres: readonly string[];
  /** Servers it runs on; empty for any that has the target. */
  readonly servers: readonly string[];
  /** 0 is the most urgent, 7 the least (RFC 9218). */
  readonly urgency: number;
  readonly latencyTarget: LatencyTarget;
  readonly weights: LossWeights;
  /** Servers wanted per data centre. */
  readonly replicas: number;
}
