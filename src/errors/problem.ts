/** Whether the request that met the problem ran on a back end. */
export const Ran = {
  /** It did not run, and nobody can dispatch it any more. */
  NO: 'no',
  /** It may have run; ask again under the same key to learn more. */
  UNKNOWN: 'unknown',
} as const;
export type Ran = (typeof Ran)[keyof typeof Ran];

/** Kinds of problem that callers and operators can meet. */
export const ProblemKind = {
  BODY_INVALID: 'body-invalid',
  BODY_TOO_LARGE: 'body-too-large',
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
  SERVICE_LIMITED: 'service-limited',
  STORE_UNAVAILABLE: 'store-unavailable',
  UNAUTHENTICATED: 'unauthenticated',
} as const;
export type ProblemKind = (typeof ProblemKind)[keyof typeof ProblemKind];

/** A failure as told to a caller or operator (RFC 9457 problem details). */
export interface Problem {
  readonly kind: ProblemKind;
  /** HTTP status code. */
  readonly status: number;
  /** What happened, in one sentence. */
  readonly detail: string;
  /** What to do about it, in one sentence. */
  readonly remedy: string;
  /** Whether the request ran. */
  readonly ran: Ran;
  /** When to ask again, in whole seconds; absent where asking again is no use. */
  readonly retryAfterSeconds?: number;
  /** Further members of the problem document. */
  readonly extra?: Readonly<Record<string, unknown>>;
}

/** A problem on its way up the stack, for code that throws. */
export class Refusal extends Error {
  constructor(readonly problem: Problem) {
    super(`${problem.detail} ${problem.remedy}`);
  }
}
