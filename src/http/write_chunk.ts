import {ServerResponse} from 'node:http';

/**
 * Writes a chunk of a response's body; resolves when the next one can be written, or the
 * connection is closed.
 */
export function writeChunk(
  response: ServerResponse,
  bytes: Uint8Array,
): Promise<void> {
  if (response.write(bytes)) {
    return Promise.resolve();
  }
  return new Promise(resolve => {
    const settle = () => {
      response.off('drain', settle);
      response.off('close', settle);
      resolve();
    };
    response.on('drain', settle);
    response.on('close', settle);
  });
}
