import {IncomingMessage} from 'node:http';

/** Longest body that is read to its end, in bytes; beyond it, a new connection costs less. */
const MAX_BYTES = 65_536;
/** Longest time for which a body is read, in milliseconds. */
const MAX_MS = 1000;

/**
 * Reads the body of a response and discards it, so that the connection can be used again. The
 * connection is closed if the body is long or does not end in time.
 * @param response - The response; none of its body has been read yet.
 */
export function discardBody(response: IncomingMessage): void {
  const timer = setTimeout(() => response.destroy(), MAX_MS).unref();
  let bytes = 0;
  response.on('data', (chunk: Uint8Array) => {
    bytes += chunk.length;
    if (bytes > MAX_BYTES) {
      response.destroy();
    }
  });
  response.on('error', () => undefined);
  response.once('close', () => clearTimeout(timer));
}
