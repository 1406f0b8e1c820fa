import {Request} from 'express';
import {Result} from 'true-myth';
import {Customer, Deployment} from '../configuration/index.js';
import {Problem, problems} from '../errors/index.js';

const TIMEOUT_HEADER = 'sedgefall-timeout-ms';
const ATTEMPT_HEADER = 'sedgefall-attempt';
/** Sent by published client libraries; 0 on the first attempt. */
const RETRY_COUNT_HEADER = 'x-stainless-retry-count';
const KEY_HEADER = 'idempotency-key';
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const URGENCY_PATTERN = /(?:^|[,;\s])u=([0-7])(?:$|[,;\s])/;

/**
 * Reads the timeout of a request, in milliseconds.
 * @param request - The request.
 * @param defaultMs - Timeout of requests without the header.
 * @param maxMs - Longest timeout allowed.
 */
export function readTimeoutMs(
  request: Request,
  defaultMs: number,
  maxMs: number,
): Result<number, Problem> {
  const text = request.header(TIMEOUT_HEADER);
  if (text === undefined) {
    return Result.ok(defaultMs);
  }
  const value = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  return value >= 1 && value <= maxMs
    ? Result.ok(value)
    : Result.err(problems.deadlineInvalid(maxMs));
}

/**
 * Reads the urgency of a request (RFC 9218): 0 to 7, where 0 is the most urgent.
 * A value that is more urgent than the customer may use is limited to its most
 * urgent one.
 * @param request - The request.
 * @param deployment - Deployment with the default urgency.
 * @param customer - Customer with the most urgent value allowed.
 */
export function readUrgency(
  request: Request,
  deployment: Deployment,
  customer: Customer,
): Result<number, Problem> {
  const text = request.header('priority');
  if (text === undefined) {
    return Result.ok(Math.max(deployment.urgency, customer.mostUrgent));
  }
  const match = URGENCY_PATTERN.exec(text);
  if (match?.[1] === undefined) {
    return Result.err(
      problems.headerInvalid('Priority', '"u=0" to "u=7", as in RFC 9218'),
    );
  }
  return Result.ok(Math.max(Number(match[1]), customer.mostUrgent));
}

/** Reads the Idempotency-Key header; `undefined` if it is absent. */
export function readIdempotencyKey(
  request: Request,
): Result<string | undefined, Problem> {
  const key = request.header(KEY_HEADER);
  if (key === undefined || KEY_PATTERN.test(key)) {
    return Result.ok(key);
  }
  return Result.err(problems.keyInvalid());
}

/** Returns whether the headers state that this is the first attempt with the key. */
export function isFirstAttempt(request: Request): boolean {
  return (
    request.header(ATTEMPT_HEADER) === '1' ||
    request.header(RETRY_COUNT_HEADER) === '0'
  );
}

/** Returns whether the caller prefers a response as soon as the call is durable. */
export function prefersAsync(request: Request): boolean {
  return /(^|[,\s])respond-async($|[,;\s])/.test(
    request.header('prefer') ?? '',
  );
}
