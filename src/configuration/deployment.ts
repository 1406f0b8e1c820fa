/** Kinds of target that a deployment serves. */
export const TargetKind = {MODEL: 'model', SERVICE: 'service'} as const;

/** Whether a call to a plain service may be sent more than once. */
export const Repeat = {
  /** Any call may be sent again. */
  SAFE: 'safe',
  /** The service deduplicates: it answers a repeated key with its first answer. */
  DEDUPLICATED: 'deduplicated',
  /** A call runs at most once; only GET, HEAD and OPTIONS may be sent again. */
  NEVER: 'never',
} as const;
export type Repeat = (typeof Repeat)[keyof typeof Repeat];

/** One version of a model, with its adapters. */
export interface ModelTarget {
  readonly kind: 'model';
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** A plain service. */
export interface ServiceTarget {
  readonly kind: 'service';
  /** Name of the service, as in the `service` member of server records. */
  readonly service: string;
  readonly repeat: Repeat;
  /** Whether the service answers "GET /outcomes/KEY" with the outcome of an earlier call. */
  readonly answersLookups: boolean;
}

/** Latency targets, to be met by 95 % of the requests. */
export interface LatencyTarget {
  /** Milliseconds to the first token, or to the answer of a service. */
  readonly firstTokenMs: number;
  /** Milliseconds between tokens. */
  readonly betweenTokensMs: number;
}

/** Relative costs of lost work and delay for a deployment, all in the same unit. */
export interface LossWeights {
  /** Cost of one recomputed token. */
  readonly recomputedToken: number;
  /** Cost of one second of delay past the latency target. */
  readonly lateSecond: number;
}

/** A model or service to run: where, with which urgency and for which customers. */
export interface Deployment {
  readonly name: string;
  readonly target: ModelTarget | ServiceTarget;
  /** Names of the customers that may use it; empty for all. */
  readonly customers: readonly string[];
  /** Data centres it runs in; empty for all. */
  readonly dataCentres: readonly string[];
  /** Names of the servers it runs on; empty for any server that has the target. */
  readonly servers: readonly string[];
  /** 0 is the most urgent, 7 the least (RFC 9218). */
  readonly urgency: number;
  readonly latencyTarget: LatencyTarget;
  readonly weights: LossWeights;
  /** Desired number of servers per data centre. */
  readonly replicas: number;
}
