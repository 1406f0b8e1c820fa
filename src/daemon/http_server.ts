import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {Express} from 'express';
import {problems, toProblemDocument} from '../errors/index.js';

/** Error code of the HTTP parser for a request head over the limit. */
const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** An HTTP server that can stop without interrupting requests in flight. */
export class HttpServer {
  private readonly server: Server;
  private inFlight = 0;

  /**
   * @param app - Application that handles the requests.
   * @param maxHeaderBytes - Largest request head accepted, in bytes.
   */
  constructor(app: Express, maxHeaderBytes: number) {
    this.server = createServer({maxHeaderSize: maxHeaderBytes}, app);
    // No request timeout: a stream lasts as long as its generation.
    this.server.requestTimeout = 0;
    this.server.on('request', (_request, response) => {
      this.inFlight++;
      response.once('close', () => this.inFlight--);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (!socket.writable) {
        return;
      }
      socket.end(formatClientError(error.code === HEADER_OVERFLOW_CODE));
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

/** Formats the response to malformed HTTP, or to a request head over the limit. */
function formatClientError(headTooLarge: boolean): string {
  const problem = headTooLarge
    ? {
        ...problems.headerInvalid('(all)', 'fewer or shorter headers'),
        status: 431,
      }
    : problems.bodyInvalid('it is not an HTTP request');
  const body = JSON.stringify(toProblemDocument(problem));
  const reason = headTooLarge
    ? 'Request Header Fields Too Large'
    : 'Bad Request';
  return [
    `HTTP/1.1 ${problem.status} ${reason}`,
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    'Connection: close',
    '',
    body,
  ].join('\r\n');
}
