import {Problem} from './problem.js';

const TYPE_PREFIX = 'urn:sedgefall:problem:';

/**
 * Builds the RFC 9457 document of a problem.
 * @param problem - The problem.
 * @param requestId - Id of the request that met it, if it got one.
 */
export function toProblemDocument(
  problem: Problem,
  requestId?: string,
): Record<string, unknown> {
  return {
    ...problem.extra,
    type: TYPE_PREFIX + problem.kind,
    title: problem.kind.replaceAll('-', ' '),
    status: problem.status,
    detail: problem.detail,
    remedy: problem.remedy,
    ran: problem.ran,
    ...(problem.retryAfterSeconds === undefined
      ? {}
      : {retry_after: problem.retryAfterSeconds}),
    ...(requestId === undefined ? {} : {instance: requestId}),
    // Published clients of the chat protocol read their message from here.
    error: {
      message: `${problem.detail} ${problem.remedy}`,
      type: problem.kind,
      code: problem.kind,
    },
  };
}
