import {Result} from 'true-myth';

/**
 * Sends a request to a host and waits for its reply.
 * @param host - Name of the host.
 * @param body - The request.
 * @param timeoutMs - Time limit of the reply, in milliseconds.
 */
export type RequestPeer = (
  host: string,
  body: unknown,
  timeoutMs: number,
) => Promise<Result<unknown, Error>>;
