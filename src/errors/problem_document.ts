import {Problem} from './problem.js';

const TYPE_PREFIX = 'urn:sedgefall:problem:';

/**
 * Creates the RFC 9457 document of a problem.
 * @param problem - Problem to report.
 * @param requestId - Id of the failed request, if it was assigned one.
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
    // Public clients of the chat completions API read the error message from here.
    error: {
      message: `${problem.detail} ${problem.remedy}`,
      type: problem.kind,
      code: problem.kind,
    },
  };
}
