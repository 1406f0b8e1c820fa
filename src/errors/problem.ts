/** Whether the request that failed with a problem was executed by a backend server. */
export const ExecutionStatus = {
  /** It was not executed and will not be dispatched any more. */
  NOT_EXECUTED: 'no',
  /** It may have been executed; a retry under the same key can return the outcome. */
  UNKNOWN: 'unknown',
} as const;
export type ExecutionStatus =
  (typeof ExecutionStatus)[keyof typeof ExecutionStatus];

/** Kinds of problems that are reported to callers and operators. */
export const ProblemKind = {
  BODY_INVALID: 'body-invalid',
  BODY_TOO_LARGE: 'body-too-large',
  BODY_TOO_SLOW: 'body-too-slow',
  CONFIGURATION_CONFLICT: 'configuration-conflict',
  CONFIGURATION_MISSING: 'configuration-missing',
  CUSTOMER_NOT_ALLOWED: 'customer-not-allowed',
  CUSTOMER_OVER_RATE: 'customer-over-rate',
  CUSTOMER_OVER_SHARE: 'customer-over-share',
  DEADLINE_INVALID: 'deadline-invalid',
  DEADLINE_UNREACHABLE: 'deadline-unreachable',
  DEADLINE_PASSED: 'deadline-passed',
  DEPLOYMENT_UNKNOWN: 'deployment-unknown',
  HEADER_INVALID: 'header-invalid',
  HOST_DRAINING: 'host-draining',
  HOST_OVERLOADED: 'host-overloaded',
  HOST_MEMORY_EXHAUSTED: 'host-memory-exhausted',
  KEY_INVALID: 'key-invalid',
  KEY_REUSED: 'key-reused',
  NO_ROOM: 'no-room',
  NO_SERVER: 'no-server',
  OUTCOME_UNKNOWN: 'outcome-unknown',
  PRECONDITION_REQUIRED: 'precondition-required',
  QUARANTINED: 'quarantined',
  RECORD_INVALID: 'record-invalid',
  RECORD_UNKNOWN: 'record-unknown',
  REQUEST_UNKNOWN: 'request-unknown',
  ROUTE_UNKNOWN: 'route-unknown',
  SERVER_FAILED: 'server-failed',
  SERVERS_UNREACHABLE: 'servers-unreachable',
  SERVICE_BACKING_OFF: 'service-backing-off',
  SERVICE_BRITTLE: 'service-brittle',
  /** No host knows at which version of a service a stream began that a caller takes up. */
  STREAM_ORIGIN_UNKNOWN: 'stream-origin-unknown',
  /** No server of the version at which a stream began can go on with it. */
  STREAM_VERSION_UNAVAILABLE: 'stream-version-unavailable',
  SERVICE_LIMITED: 'service-limited',
  STORE_UNAVAILABLE: 'store-unavailable',
  UNAUTHENTICATED: 'unauthenticated',
} as const;
export type ProblemKind = (typeof ProblemKind)[keyof typeof ProblemKind];

/** A failure as reported to a caller or operator (RFC 9457 problem details). */
export interface Problem {
  readonly kind: ProblemKind;
  /** HTTP status code. */
  readonly status: number;
  /** What happened, in one sentence. */
  readonly detail: string;
  /** How to resolve it, in one sentence. */
  readonly remedy: string;
  /** Whether the request was executed. */
  readonly ran: ExecutionStatus;
  /**
   * Delay before a retry, in seconds, possibly with a fraction; absent if a retry is
   * pointless.
   */
  readonly retryAfterSeconds?: number;
  /** Extension members of the problem document. */
  readonly extra?: Readonly<Record<string, unknown>>;
}

/** Error that carries a problem, for code that reports problems by throwing. */
export class ProblemError extends Error {
  constructor(readonly problem: Problem) {
    super(`${problem.detail} ${problem.remedy}`);
  }
}
