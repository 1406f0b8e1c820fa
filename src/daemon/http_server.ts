import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {Express} from 'express';
import {problems, toProblemDocument} from '../errors/index.js';

const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';

/** An HTTP server that can stop without cutting off a request. */
export class HttpServer {
  private readonly server: Server;
  private inFlight = 0;

  /**
   * @param app - What it serves.
   * @param maxHeaderBytes - Largest request head accepted.
   */
  constructor(app: Express, maxHeaderBytes: number) {
    this.server = createServer({maxHeaderSize: maxHeaderBytes}, app);
    // Streams last as long as their generations do.
    this.server.requestTimeout = 0;
    this.server.on('request', (_request, response) => {
      this.inFlight++;
      response.once('close', () => this.inFlight--);
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (!socket.writable) {
        return;
      }
      socket.end(formatClientError(error.code === HEADER_OVERFLOW));
    });
  }

  /** Number of requests being answered. */
  countInFlight(): number {
    return this.inFlight;
  }

  /**
   * Starts to listen.
   * @param address - IP number and port.
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

  /** Stops listening; requests in progress go on. */
  stopListening(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes every connection. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Splits "IP:PORT". */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}

/** Answer to bytes that are no HTTP request, or one with too large a head. */
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
