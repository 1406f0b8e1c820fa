import {ClientRequest} from 'node:http';
import {checkBodyEnd, Framing, IncompleteAnswer} from '../answer/index.js';
import {getResponseFraming} from './get_response_framing.js';
import {waitForClose} from './wait_for_close.js';

/**
 * Waits for the end of the response to a request whose body a client library reads. Such a
 * library reports a body that lacks its length or chunks, but takes each end of a connection
 * for the end of a body that has neither.
 * @param request - The request; its response has not begun.
 * @returns Why the body is not complete; `undefined` if it is. Pending without a response.
 */
export function waitForBodyEnd(
  request: ClientRequest,
): Promise<IncompleteAnswer | undefined> {
  return new Promise(resolve => {
    request.once('response', response => {
      const framing = getResponseFraming(request.method, response);
      if (framing !== Framing.CONNECTION) {
        resolve(undefined);
        return;
      }
      void waitForClose(response.socket).then(hasMarkedEnd =>
        resolve(checkBodyEnd({framing, hasMarkedEnd})),
      );
    });
  });
}
