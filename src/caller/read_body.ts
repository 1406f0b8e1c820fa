import {Request, Response} from 'express';
import {Problem, problems, ProblemError} from '../errors/index.js';
import {BodyFailure, BodyMemory, BodyReader} from '../http/index.js';
import {Clock} from '../time/index.js';

/** Limits of the body of a request. */
export interface BodyLimits {
  readonly clock: Clock;
  /** Memory that the body takes, until the response is closed. */
  readonly memory: BodyMemory;
  /** Longest body, in bytes. */
  readonly maxBytes: number;
  /** Time in which the body has to arrive, in milliseconds. */
  readonly timeoutMs: number;
}

/** When callers for whose body there was no memory are to return, in seconds. */
const RETRY_S = 1;

/**
 * Reads the body of a request. It is to be called at once when the request arrives, after its key
 * has been checked: who has none is to hold no memory.
 * @throws ProblemError - If the body cannot be taken.
 */
export async function readBody(
  request: Request,
  response: Response,
  {clock, memory, maxBytes, timeoutMs}: BodyLimits,
): Promise<Buffer> {
  if (request.headers['content-encoding'] !== undefined) {
    throw new ProblemError(problems.bodyInvalid('it has a Content-Encoding'));
  }
  const reader = new BodyReader(request, {
    maxBytes,
    memory,
    onEvicted: () => undefined,
  });
  response.once('close', () => reader.release());
  const cancel = clock.startTimer(timeoutMs, () => reader.expire());
  const body = await reader.take();
  cancel();
  if (body.isErr) {
    throw new ProblemError(toProblem(body.error, maxBytes));
  }
  return body.value;
}

function toProblem(failure: BodyFailure, maxBytes: number): Problem {
  switch (failure) {
    case BodyFailure.TOO_LONG:
      return problems.bodyTooLarge(maxBytes);
    case BodyFailure.NO_MEMORY:
      return problems.memoryExhausted(RETRY_S);
    case BodyFailure.TOO_SLOW:
      return problems.bodyTooSlow();
    case BodyFailure.INCOMPLETE:
    case BodyFailure.DISCARDED:
      return problems.bodyInvalid('it is not complete');
  }
}
