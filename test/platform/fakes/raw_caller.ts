import {connect} from 'node:net';
import {parseAddress} from '../../../src/http/index.js';

/** Versions of HTTP that callers use. */
export const HttpVersion = {HTTP_1_0: '1.0', HTTP_1_1: '1.1'} as const;
export type HttpVersion = (typeof HttpVersion)[keyof typeof HttpVersion];

/** An answer as its bytes tell a caller. */
export interface RawAnswer {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Whether the framing and the end of the connection mark the body as complete. */
  readonly isWhole: boolean;
}

/** A request of a `callRaw`. */
export interface RawRequest {
  readonly path: string;
  readonly version: HttpVersion;
  readonly headers: Readonly<Record<string, string>>;
  readonly method?: string;
  readonly body?: string;
  /** Aborted when the caller leaves. */
  readonly signal?: AbortSignal;
}

/** What a connection has delivered until its end. */
interface ReceivedBytes {
  readonly bytes: string;
  /** Whether it was reset rather than closed. */
  readonly isReset: boolean;
}

/**
 * Sends one request on a connection of its own and reads the answer byte by byte, since
 * clients of libraries differ in which answers they take for complete.
 * @param address - Address of the host.
 * @param request - The request.
 */
export async function callRaw(
  address: string,
  request: RawRequest,
): Promise<RawAnswer> {
  const {path, version, headers, method = 'GET', body = '', signal} = request;
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}`,
  );
  const head = [
    `${method} ${path} HTTP/${version}`,
    ...lines,
    'Connection: close',
  ];
  const {bytes, isReset} = await receive(
    address,
    `${head.join('\r\n')}\r\n\r\n${body}`,
    signal,
  );
  return parseAnswer(bytes, isReset);
}

function receive(
  address: string,
  sent: string,
  signal: AbortSignal | undefined,
): Promise<ReceivedBytes> {
  return new Promise(resolve => {
    const socket = connect({...parseAddress(address), allowHalfOpen: true});
    let bytes = '';
    const finish = (isReset: boolean) => {
      socket.destroy();
      resolve({bytes, isReset});
    };
    socket.on('data', piece => (bytes += piece.toString('latin1')));
    socket.once('error', () => finish(true));
    // Node reports a reset that arrives with the last bytes as an end; writing then fails.
    socket.once('end', () =>
      socket.write('\r\n', error => finish(Boolean(error))),
    );
    signal?.addEventListener('abort', () => finish(true), {once: true});
    socket.write(sent);
  });
}

function parseAnswer(bytes: string, isReset: boolean): RawAnswer {
  const end = bytes.indexOf('\r\n\r\n');
  const [line = '', ...lines] = bytes.slice(0, Math.max(end, 0)).split('\r\n');
  const headers = new Map<string, string>();
  for (const text of lines) {
    const colon = text.indexOf(':');
    headers.set(
      text.slice(0, colon).toLowerCase(),
      text.slice(colon + 1).trim(),
    );
  }
  const status = Number(line.split(' ')[1] ?? 0);
  const rest = end < 0 ? '' : bytes.slice(end + 4);
  if (headers.get('transfer-encoding') === 'chunked') {
    return {status, headers, ...decodeChunks(rest)};
  }
  const length = headers.get('content-length');
  const isWhole =
    length === undefined
      ? end >= 0 && !isReset
      : rest.length === Number(length);
  return {status, headers, body: rest, isWhole};
}

function decodeChunks(bytes: string): {body: string; isWhole: boolean} {
  let body = '';
  let rest = bytes;
  for (;;) {
    const end = rest.indexOf('\r\n');
    const length = Number.parseInt(rest.slice(0, Math.max(end, 0)), 16);
    if (end < 0 || Number.isNaN(length)) {
      return {body, isWhole: false};
    }
    if (length === 0) {
      return {body, isWhole: rest === '0\r\n\r\n'};
    }
    const start = end + 2;
    body += rest.slice(start, start + length);
    rest = rest.slice(start + length + 2);
  }
}
