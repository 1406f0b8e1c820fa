import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {Express} from 'express';
import {Problem, problems, toProblemDocument} from '../errors/index.js';
import {closeUnlessComplete} from '../http/index.js';

/** Error code of the HTTP parser for a request head over the limit. */
const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** Error code of node:http for a request that does not arrive in time. */
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Limits of an `HttpServer`. */
export interface HttpServerLimits {
  /** Largest request head accepted, in bytes. */
  readonly maxHeaderBytes: number;
  /** Time in which a request has to arrive with its body, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** Most connections; further ones are closed. */
  readonly maxConnections: number;
}

/** An HTTP server that can stop without interrupting requests in flight. */
export class HttpServer {
  private readonly server: Server;
  private inFlight = 0;

  /**
   * @param app - Application that handles the requests.
   * @param limits - What callers may send.
   */
  constructor(app: Express, {maxHeaderBytes, ...limits}: HttpServerLimits) {
    this.server = createServer({maxHeaderSize: maxHeaderBytes}, app);
    this.server.requestTimeout = limits.requestTimeoutMs;
    this.server.maxConnections = limits.maxConnections;
    this.server.on('request', (request, response) => {
      this.inFlight++;
      response.once('close', () => this.inFlight--);
      response.once('finish', () => closeUnlessComplete(request));
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (!socket.writable) {
        return;
      }
      socket.end(formatClientError(error.code));
    });
  }

  /** Returns the number of requests whose response is not closed yet. */
  countInFlight(): number {
    return this.inFlight;
  }

  /**
   * Starts to listen.
   * @param address - IP address and port, as "IP:PORT".
   * @returns The port.
   */
  async listen(address: string): Promise<number> {
    const {host, port} = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes idle connections; requests in flight continue. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Splits "IP:PORT" into its parts; removes the brackets of an IPv6 address. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** Formats the response to what is no request, too large a head, or an incomplete request. */
function formatClientError(code: string | undefined): string {
  const {problem, reason} = describeClientError(code);
  const body = JSON.stringify(toProblemDocument(problem));
  return [
    `HTTP/1.1 ${problem.status} ${reason}`,
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
    '',
    body,
  ].join('\r\n');
}

function describeClientError(code: string | undefined): {
  readonly problem: Problem;
  readonly reason: string;
} {
  if (code === HEADER_OVERFLOW_CODE) {
    const problem = problems.headerInvalid('(all)', 'fewer or shorter headers');
    return {
      problem: {...problem, status: 431},
      reason: 'Request Header Fields Too Large',
    };
  }
  return code === TIMEOUT_CODE
    ? {problem: problems.bodyTooSlow(), reason: 'Request Timeout'}
    : {
        problem: problems.bodyInvalid('it is not an HTTP request'),
        reason: 'Bad Request',
      };
}
