import {Response} from 'express';
import {Problem, toProblemDocument} from '../errors/index.js';

/** Header that carries the id of a request. */
export const REQUEST_ID_HEADER = 'Sedgefall-Request-Id';

/**
 * Sends a problem document (`application/problem+json`) as the response.
 * @param response - The response.
 * @param problem - The problem.
 * @param requestId - Id of the request, if it has been assigned one.
 */
export function sendProblem(
  response: Response,
  problem: Problem,
  requestId?: string,
): void {
  if (problem.retryAfterSeconds !== undefined) {
    response.setHeader('Retry-After', String(problem.retryAfterSeconds));
  }
  if (problem.status === 401) {
    response.setHeader('WWW-Authenticate', 'Bearer');
  }
  if (!response.req.complete) {
    // What follows on the connection cannot be told apart from the rest of the body.
    response.setHeader('Connection', 'close');
  }
  if (requestId !== undefined) {
    response.setHeader(REQUEST_ID_HEADER, requestId);
  }
  response
    .status(problem.status)
    .type('application/problem+json')
    .send(JSON.stringify(toProblemDocument(problem, requestId)));
}
