import {IncomingMessage} from 'node:http';
import {Framing, getFraming} from '../answer/index.js';

/**
 * Returns how the end of a response's body is marked.
 * @param method - Method of the request.
 * @param response - The response; its body need not have been read.
 */
export function getResponseFraming(
  method: string,
  {headers, statusCode = 0}: IncomingMessage,
): Framing {
  return getFraming({
    method,
    status: statusCode,
    contentLength: headers['content-length'],
    transferEncoding: headers['transfer-encoding'],
  });
}
