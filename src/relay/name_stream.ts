import {RelayRequest} from './relay_request.js';

/**
 * Returns the name of a stream, the same at all hosts. Callers choose the ids of requests, so
 * that streams of different customers may have the same one.
 * @param request - A request of the customer.
 * @param id - Id of the request that brought the first event of the stream.
 */
export function nameStream(
  {account}: Pick<RelayRequest, 'account'>,
  id: string,
): string {
  return `${account?.name ?? ''}/${id}`;
}
