import {createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';

/** A request as the fake server parsed it. */
export interface ReceivedRequest {
  readonly line: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Writes the raw bytes of the response to a request. */
export type Script = (socket: Socket, request: ReceivedRequest) => void;

/**
 * A backend server whose responses are written as raw bytes, so that it can violate any
 * rule of the protocol.
 */
export class FakeServer {
  readonly requests: ReceivedRequest[] = [];
  readonly sockets = new Set<Socket>();
  connectionCount = 0;
  private readonly server: Server;

  /** @param script - Responds to each request; may be replaced while the server runs. */
  constructor(public script: Script) {
    this.server = createServer(socket => this.serve(socket));
  }

  /** Starts listening; returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private serve(socket: Socket): void {
    this.connectionCount++;
    this.sockets.add(socket);
    let received = Buffer.alloc(0);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', bytes => {
      received = Buffer.concat([received, bytes]);
      for (;;) {
        const parsed = parse(received);
        if (parsed === undefined) {
          return;
        }
        received = received.subarray(parsed.length);
        this.requests.push(parsed.request);
        this.script(socket, parsed.request);
      }
    });
  }
}

function parse(
  bytes: Buffer,
): {request: ReceivedRequest; length: number} | undefined {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [line = '', ...lines] = bytes.subarray(0, end).toString().split('\r\n');
  const headers = new Map<string, string>();
  for (const text of lines) {
    const colon = text.indexOf(':');
    headers.set(
      text.slice(0, colon).toLowerCase(),
      text.slice(colon + 1).trim(),
    );
  }
  const length = end + 4 + Number(headers.get('content-length') ?? 0);
  if (bytes.length < length) {
    return undefined;
  }
  const body = bytes.subarray(end + 4, length).toString();
  return {request: {line, headers, body}, length};
}

/** Pause before a reset, after which the bytes before it have arrived, in milliseconds. */
const RESET_DELAY_MS = 10;

/** Ends a connection whose end marks that of a response: closes or resets it. */
export function endConnection(socket: Socket, isReset: boolean): void {
  if (isReset) {
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    return;
  }
  socket.end();
}

/** Formats a chunk of a body in chunks. */
export function formatChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Formats the head of a valid response. */
export function formatHead(
  request: ReceivedRequest,
  status: number,
  extraHeaders: readonly string[] = [],
): string {
  return [
    `HTTP/1.1 ${status} X`,
    `Request-Id: ${request.headers.get('request-id')}`,
    'Server-Signature: sig',
    ...extraHeaders,
    '',
    '',
  ].join('\r\n');
}

/** Creates a script that responds with a complete body. */
export function answerWith(body: string, status = 200): Script {
  return (socket, request) => {
    const extraHeaders = [
      `Content-Length: ${body.length}`,
      'Keep-Alive: timeout=5',
    ];
    socket.write(formatHead(request, status, extraHeaders) + body);
  };
}
