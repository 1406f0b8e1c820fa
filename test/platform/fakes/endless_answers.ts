import {Socket} from 'node:net';
import {formatHead, ReceivedRequest, Script} from './fake_server.js';

/** A part of an answer that does not end. */
export interface EndlessPart {
  readonly name: string;
  /** Returns what is sent once, before the part that is repeated. */
  readonly formatStart: (request: ReceivedRequest) => string;
  /** Sent again and again, until the connection is closed. */
  readonly piece: Buffer;
}

/** What a server has sent on a connection. */
export interface EndlessConnection {
  readonly openedMs: number;
  sentBytes: number;
  /** Absent while the connection is open. */
  closedMs?: number;
}

/** Interval between two pieces, in milliseconds. */
const PIECE_INTERVAL_MS = 2;
const PIECE_BYTES = 65_536;
const TEXT = Buffer.alloc(PIECE_BYTES, 'x');
const STREAM = 'Content-Type: text/event-stream';
const CHUNKED = 'Transfer-Encoding: chunked';
const FIRST_EVENT = 'id: 1\ndata: x\n\nid: 2\ndata: ';

/** One line of an event without end, by how the end of the answer is marked. */
export const ENDLESS_EVENTS: readonly EndlessPart[] = [
  {
    name: 'an event in chunks',
    formatStart: request => {
      const head = formatHead(request, 200, [STREAM, CHUNKED]);
      return `${head}${FIRST_EVENT.length.toString(16)}\r\n${FIRST_EVENT}\r\n`;
    },
    piece: Buffer.concat([
      Buffer.from(`${PIECE_BYTES.toString(16)}\r\n`),
      TEXT,
      Buffer.from('\r\n'),
    ]),
  },
  {
    name: 'an event that the end of the connection marks',
    formatStart: request => formatHead(request, 200, [STREAM]) + FIRST_EVENT,
    piece: TEXT,
  },
];

/** Sends an answer without end, and records its connections. */
export class EndlessServer {
  readonly connections: EndlessConnection[] = [];
  readonly script: Script = (socket, request) => this.answer(socket, request);

  constructor(private readonly part: EndlessPart) {}

  private answer(socket: Socket, request: ReceivedRequest): void {
    const connection: EndlessConnection = {
      openedMs: performance.now(),
      sentBytes: 0,
    };
    this.connections.push(connection);
    socket.write(this.part.formatStart(request));
    const timer = setInterval(() => {
      // Bytes that the host does not read must not pile up here.
      if (!socket.writableNeedDrain) {
        connection.sentBytes += this.part.piece.length;
        socket.write(this.part.piece);
      }
    }, PIECE_INTERVAL_MS);
    socket.once('close', () => {
      connection.closedMs = performance.now();
      clearInterval(timer);
    });
  }
}
