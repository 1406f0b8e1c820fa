import {ServerResponse} from 'node:http';
import {Framing} from '../answer/index.js';

/**
 * Longest time for which a response that is broken off waits until what was written before
 * has left this process, in milliseconds.
 */
const FLUSH_TIMEOUT_MS = 1000;

/**
 * Breaks off a response so that its receiver cannot take it for complete. One with a length
 * or chunks lacks its end when the connection is closed. Where the close marks the end, as
 * for callers of HTTP/1.0, only a reset tells.
 * @param response - The response.
 * @param framing - How its end is marked; absent if its head was not sent.
 * @param flushTimeoutMs - Longest wait until what was written has left this process, in
 *   milliseconds; 0 if the process is about to end.
 */
export function breakOff(
  response: ServerResponse,
  framing: Framing | undefined,
  flushTimeoutMs = FLUSH_TIMEOUT_MS,
): void {
  const {socket} = response;
  const close = () => {
    if (framing === Framing.CONNECTION) {
      socket?.resetAndDestroy();
    }
    response.destroy();
  };
  const hasUnsent = (socket?.writableLength ?? 0) > 0;
  if (socket === null || !hasUnsent || flushTimeoutMs === 0) {
    close();
    return;
  }
  // The receiver can use what was relayed: a stream is resumed after its last event.
  const timer = setTimeout(close, flushTimeoutMs);
  socket.once('close', () => clearTimeout(timer));
  socket.write('', close);
}
