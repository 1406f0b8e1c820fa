import {once} from 'node:events';
import {connect, Socket} from 'node:net';
import {parseAddress} from '../../../src/http/index.js';

/** The head of an answer as its caller received it. */
export interface AnswerHead {
  readonly id: string;
  readonly status: number;
  /** Whether it announces the end of its connection. */
  readonly closes: boolean;
}

/**
 * A connection of a caller that uses it again at once and does not wait for answers. It reads
 * the bytes itself, since clients of libraries do not send on a connection that is ending.
 */
export class KeptConnection {
  readonly socket: Socket;
  /** All that has arrived. */
  received = '';
  /** Whether the host has ended its side. */
  isEnded = false;

  /**
   * @param address - Address of the host.
   * @param headers - Headers of each request, beside its id.
   */
  constructor(
    address: string,
    private readonly headers: Readonly<Record<string, string>>,
  ) {
    // The caller's side stays open after the host's, as for a request that crosses the end.
    this.socket = connect({...parseAddress(address), allowHalfOpen: true});
    this.socket.setNoDelay(true);
    this.socket.on('data', piece => (this.received += String(piece)));
    this.socket.once('end', () => (this.isEnded = true));
    this.socket.on('error', () => undefined);
  }

  /** Resolves once the connection is open. */
  async connected(): Promise<void> {
    await once(this.socket, 'connect');
  }

  /** Sends requests in one write. */
  send(path: string, ...ids: readonly string[]): void {
    this.write(ids.map(id => this.format(path, id)).join(''));
  }

  /** Sends any bytes. */
  write(bytes: string): void {
    this.socket.write(bytes);
  }

  /** Formats a request. */
  format(path: string, id: string, more: readonly string[] = []): string {
    const lines = Object.entries(this.headers).map(
      ([name, value]) => `${name}: ${value}`,
    );
    const head = [
      `POST ${path} HTTP/1.1`,
      ...lines,
      `Request-Id: ${id}`,
      'Content-Length: 2',
      ...more,
    ];
    return `${head.join('\r\n')}\r\n\r\nxy`;
  }

  /** Lists the heads of the answers that have arrived. */
  listAnswers(): AnswerHead[] {
    const heads = this.received.matchAll(
      /HTTP\/1\.1 (\d{3}) [^\r]*\r\n(.*?\r\n)\r\n/gs,
    );
    return [...heads].map(([, status, lines = '']) => ({
      id: /^request-id: (.*?)\r$/im.exec(lines)?.[1] ?? '',
      status: Number(status),
      closes: /^connection: close\r$/im.test(lines),
    }));
  }

  /** Leaves. */
  close(): void {
    this.socket.destroy();
  }
}
