import {connect, Socket} from 'node:net';
import {parseAddress} from '../../../src/http/index.js';
import {KEY} from './test_system.js';

/** What one client of a crowd sends. */
export type Client = (socket: Socket) => void;

const RECONNECT_MS = 5;
const CRLF = '\r\n';

/** Formats the head of a request that callers may send, up to the blank line. */
export function formatRequestHead(
  id: string,
  headers: readonly string[],
  method = 'POST',
): string {
  return [
    `${method} /a/x HTTP/1.1`,
    'Host: desk.example',
    `Request-Id: ${id}`,
    `Credential: ${KEY}`,
    ...headers,
    '',
    '',
  ].join(CRLF);
}

/** Formats a chunk of a body. */
export function formatBytesChunk(bytes: Uint8Array): Buffer {
  return Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}${CRLF}`),
    bytes,
    Buffer.from(CRLF),
  ]);
}

/** Formats chunks of one byte each. */
export function formatTinyChunks(count: number): string {
  return `1${CRLF}x${CRLF}`.repeat(count);
}

/** Clients that do not behave as callers should, on a connection each. */
export class Crowd {
  private readonly sockets = new Set<Socket>();
  private isStopped = false;
  /** Connections opened so far. */
  opened = 0;
  /** Connections that the host has closed. */
  closed = 0;

  /** @param address - Address of the host. */
  constructor(private readonly address: string) {}

  /** Opens connections; a client need not read what the host sends. */
  open(count: number, client: Client, reads = true): void {
    for (let index = 0; index < count; index++) {
      this.connect(client, reads);
    }
  }

  /** Opens connections, and opens each again when the host closes it. */
  openAgain(count: number, client: Client): void {
    for (let index = 0; index < count; index++) {
      this.reconnect(client);
    }
  }

  /** Returns how many connections are open. */
  countOpen(): number {
    return this.sockets.size;
  }

  /** Returns whether all that the clients have written has left this process. */
  hasSentAll(): boolean {
    for (const socket of this.sockets) {
      if (socket.connecting || socket.writableLength > 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns the bytes that the clients have written and that have not left this process. */
  countUnsentBytes(): number {
    let bytes = 0;
    for (const socket of this.sockets) {
      bytes += socket.writableLength;
    }
    return bytes;
  }

  /** Closes all connections. */
  stop(): void {
    this.isStopped = true;
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  private reconnect(client: Client): void {
    const socket = this.connect(client, true);
    socket.once('close', () => {
      if (!this.isStopped) {
        setTimeout(() => this.reconnect(client), RECONNECT_MS);
      }
    });
  }

  private connect(client: Client, reads: boolean): Socket {
    const socket = connect(parseAddress(this.address));
    this.sockets.add(socket);
    this.opened++;
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closed++;
    });
    if (reads) {
      socket.resume();
    }
    socket.once('connect', () => client(socket));
    return socket;
  }
}
