import {ClientRequest, IncomingMessage} from 'node:http';
import {IncompleteAnswer, IncompleteReason} from '../answer/index.js';

/**
 * Bytes that may arrive beside a body: a head and trailers, which the parser limits to 16 KB
 * each, some informational responses, and the framing of short chunks.
 */
const MAX_OVERHEAD_BYTES = 131_072;
/** Bytes of framing for each byte of a body; a chunk of 3 bytes has 5 bytes of it. */
const MAX_OVERHEAD_RATIO = 2;

/**
 * Ends the exchange of a request if much more arrives than belongs to the body of the response:
 * the parser accepts line ends before a head, informational responses, zeros before the size of
 * a chunk and extensions of chunks without end.
 * @param request - A request with an open connection; its response has not begun.
 */
export function limitOverhead(request: ClientRequest): void {
  const {socket} = request;
  if (socket === null) {
    return;
  }
  const bytesBefore = socket.bytesRead;
  let response: IncomingMessage | undefined;
  let bodyBytes = 0;
  const check = () => {
    const receivedBytes = socket.bytesRead - bytesBefore;
    const knownBytes = bodyBytes + (response?.readableLength ?? 0);
    const overheadBytes = receivedBytes - knownBytes;
    if (overheadBytes <= MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * knownBytes) {
      return;
    }
    const failure = new IncompleteAnswer(
      IncompleteReason.OVERHEAD,
      `${overheadBytes} bytes arrived beside ${knownBytes} bytes of a body`,
    );
    (response ?? request).destroy(failure);
  };
  request.once('response', received => {
    response = received;
    received.on('data', (chunk: Uint8Array) => (bodyBytes += chunk.length));
  });
  socket.on('data', check);
  request.once('close', () => socket.off('data', check));
}
