import {ClientRequest} from 'node:http';

/**
 * Turns an error that a callback of a request throws into the failure of that request. Thrown in
 * an event of a socket, it would end the process with all other requests.
 * @param request - The request; it is destroyed with the error.
 * @param callback - Callback of an event.
 */
export function failOnThrow<Args extends unknown[]>(
  request: ClientRequest,
  callback: (...args: Args) => void,
): (...args: Args) => void {
  return (...args) => {
    try {
      callback(...args);
    } catch (error) {
      request.destroy(
        error instanceof Error ? error : new Error(String(error)),
      );
    }
  };
}
