import {formatChunk, formatHead} from './fake_server.js';
import {CreateScript} from './test_system.js';

/** How servers stream while some of them may be silent. */
export interface SilentStreams {
  readonly eventCount: number;
  /** Interval between two events, in milliseconds. */
  readonly intervalMs: number;
  /** Returns whether a server sends nothing now. It then goes on where it was. */
  readonly isSilent: (server: number) => boolean;
}

const STREAM_HEADERS = [
  'Content-Type: text/event-stream',
  'Transfer-Encoding: chunked',
];
const LAST_CHUNK = '0\r\n\r\n';

/**
 * Creates scripts that stream events with ids from 1, or after `Last-Event-Id`, and send
 * nothing while their server is silent, not even the head of an answer.
 */
export function streamUnlessSilent(streams: SilentStreams): CreateScript {
  const {eventCount, intervalMs, isSilent} = streams;
  return (_server, index) => (socket, request) => {
    let id = Number(request.headers.get('last-event-id') ?? 0);
    let hasHead = false;
    const sendNext = (): void => {
      if (isSilent(index)) {
        return;
      }
      if (!hasHead) {
        hasHead = true;
        socket.write(formatHead(request, 200, STREAM_HEADERS));
      } else if (id < eventCount) {
        id++;
        socket.write(formatChunk(`id: ${id}\ndata: x\n\n`));
      } else {
        clearInterval(timer);
        socket.write(LAST_CHUNK);
      }
    };
    const timer = setInterval(sendNext, intervalMs);
    socket.once('close', () => clearInterval(timer));
  };
}
