import {request as openRequest} from 'node:http';
import {FakeServer, formatChunk, formatHead, Script} from './fake_server.js';
import {KEY, RunningHost} from './test_system.js';

/** How a server streams. */
export interface VersionedStream {
  /** Version of its software, which each event names. */
  readonly version: string;
  /** Events of the complete stream. */
  readonly eventCount: number;
  /** Returns how many events a run sends before it breaks off inside the next one. */
  readonly getEventsBeforeEnd: (isContinued: boolean) => number;
  /** Resolves when a run that breaks off does so; at once by default. */
  readonly waitBeforeEnd?: () => Promise<void>;
}

/** What a caller got of a stream. */
export interface ReceivedStream {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  /** Ids of the events, in order. */
  readonly ids: readonly number[];
  /** Versions that the events name, each once. */
  readonly versions: readonly string[];
  /** Whether the answer was complete. */
  readonly isWhole: boolean;
}

/** A request for a stream. */
export interface StreamCall {
  readonly id: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Events after which the caller leaves; absent if it stays. */
  readonly leavesAfter?: number;
}

const EVENT_DELAY_MS = 2;

/** Creates a script that streams events which name the version that wrote them. */
export function streamVersion(
  getStream: (server: FakeServer) => VersionedStream,
): (server: FakeServer) => Script {
  return server => (socket, request) => {
    const {version, eventCount, getEventsBeforeEnd, waitBeforeEnd} =
      getStream(server);
    const after = Number(request.headers.get('last-event-id') ?? 0);
    const until = after + getEventsBeforeEnd(after > 0);
    const headers = [
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ];
    socket.write(formatHead(request, 200, headers));
    const sendNext = (id: number): void => {
      if (socket.destroyed) {
        return;
      }
      if (id > eventCount) {
        socket.write('0\r\n\r\n');
        return;
      }
      const text = `id: ${id}\ndata: ${version}\n\n`;
      if (id > until) {
        socket.write(formatChunk(text.slice(0, -2)));
        setTimeout(() => {
          void (waitBeforeEnd?.() ?? Promise.resolve()).then(() =>
            socket.destroy(),
          );
        }, EVENT_DELAY_MS);
        return;
      }
      socket.write(formatChunk(text));
      setTimeout(() => sendNext(id + 1), EVENT_DELAY_MS);
    };
    sendNext(after + 1);
  };
}

/** Requests a stream from a host, and reads its events until it ends or the caller leaves. */
export function readStream(
  host: RunningHost,
  {id, path, headers = {}, leavesAfter = Infinity}: StreamCall,
): Promise<ReceivedStream> {
  const [address, port] = host.callers.split(':');
  return new Promise((resolve, reject) => {
    const sent = openRequest({
      host: address,
      port,
      path,
      agent: false,
      headers: {
        Host: 'desk.example',
        'Request-Id': id,
        Credential: KEY,
        'Deadline-Remaining': '5000',
        ...headers,
      },
    });
    sent.on('error', reject);
    sent.on('response', response => {
      let body = '';
      response.on('error', () => undefined);
      response.on('data', piece => {
        body += String(piece);
        if (listIds(body).length >= leavesAfter) {
          response.destroy();
        }
      });
      response.on('close', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          ids: listIds(body),
          versions: [
            ...new Set([...body.matchAll(/^data: (.+)\n\n/gm)].map(m => m[1])),
          ].map(String),
          isWhole: response.complete,
        }),
      );
    });
    sent.end();
  });
}

function listIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)\ndata: .+\n\n/gm)].map(match =>
    Number(match[1]),
  );
}
