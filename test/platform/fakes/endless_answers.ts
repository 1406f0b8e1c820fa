import {Socket} from 'node:net';
import {
  formatChunk,
  formatHead,
  ReceivedRequest,
  Script,
} from './fake_server.js';

/** A part of an answer that does not end. */
export interface EndlessPart {
  readonly name: string;
  /** Returns what is sent once, before the part that is repeated. */
  readonly formatStart: (request: ReceivedRequest) => string;
  /** Sent again and again, until the connection is closed. */
  readonly piece: Buffer;
}

/** A connection on which an answer does not end. */
export interface EndlessConnection {
  /** When its request arrived, in milliseconds. */
  readonly requestedMs: number;
  sentBytes: number;
  /** When it was closed, in milliseconds; absent while it is open. */
  closedMs?: number;
}

/** Interval between two pieces, in milliseconds. */
const PIECE_INTERVAL_MS = 2;
const PIECE_BYTES = 65_536;
const STREAM = 'Content-Type: text/event-stream';
const CHUNKED = 'Transfer-Encoding: chunked';
const EVENT = 'id: 1\ndata: x\n\n';
const TEXT = repeat('x');

/** One line of an event without end, by how the end of the answer is marked. */
export const ENDLESS_EVENTS: readonly EndlessPart[] = [
  {
    name: 'an event in chunks',
    formatStart: request =>
      formatHead(request, 200, [STREAM, CHUNKED]) +
      formatChunk(`${EVENT}id: 2\ndata: `),
    piece: Buffer.from(formatChunk(TEXT.toString())),
  },
  {
    name: 'an event that the end of the connection marks',
    formatStart: request =>
      `${formatHead(request, 200, [STREAM])}${EVENT}id: 2\ndata: `,
    piece: TEXT,
  },
  {
    name: 'comments',
    formatStart: request => formatHead(request, 200, [STREAM]) + EVENT,
    piece: repeat(': x\n'),
  },
  {
    name: 'comments and blank lines',
    formatStart: request => formatHead(request, 200, [STREAM]) + EVENT,
    piece: repeat(': x\n\n'),
  },
];

/** What precedes the body of an answer, without end. */
export const ENDLESS_HEADS: readonly EndlessPart[] = [
  {
    name: 'a header',
    formatStart: request => `${formatOpenHead(request)}X-Header: `,
    piece: TEXT,
  },
  {
    name: 'headers',
    formatStart: formatOpenHead,
    piece: repeat('X-Header: x\r\n'),
  },
  {
    name: 'informational responses',
    formatStart: () => '',
    piece: repeat('HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'),
  },
  {
    name: 'responses that let the request continue',
    formatStart: () => '',
    piece: repeat('HTTP/1.1 100 Continue\r\n\r\n'),
  },
  {
    name: 'line ends before the head',
    formatStart: () => '',
    piece: repeat('\r\n'),
  },
];

/** What frames a body in chunks, without end. */
export const ENDLESS_FRAMING: readonly EndlessPart[] = [
  {
    name: 'an extension of a chunk',
    formatStart: request =>
      `${formatHead(request, 200, [STREAM, CHUNKED])}1;x=`,
    piece: TEXT,
  },
  {
    name: 'extensions of small chunks',
    formatStart: request => formatHead(request, 200, [STREAM, CHUNKED]),
    piece: repeat('1;x=xxxxxxxxxxxxxxx\r\n:\r\n'),
  },
  {
    name: 'zeros before the size of a chunk',
    formatStart: request => formatHead(request, 200, [STREAM, CHUNKED]),
    piece: repeat('0'),
  },
  {
    name: 'trailers',
    formatStart: request =>
      `${formatHead(request, 200, [STREAM, CHUNKED])}${formatChunk(EVENT)}0\r\n`,
    piece: repeat('X-Trailer: x\r\n'),
  },
];

/** Bodies without end of answers that are not relayed. */
export const ENDLESS_REJECTIONS: readonly EndlessPart[] = [
  {
    name: 'the body of a rejection',
    formatStart: request => formatHead(request, 503, ['Not-Executed: full']),
    piece: TEXT,
  },
  {
    name: 'the body of an answer to a misdirected request',
    formatStart: request => formatHead(request, 421),
    piece: TEXT,
  },
  {
    name: 'the body of an error response',
    formatStart: request => formatHead(request, 500),
    piece: TEXT,
  },
];

function repeat(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(PIECE_BYTES / text.length)));
}

/** Formats a head without the line that ends it. */
function formatOpenHead(request: ReceivedRequest): string {
  return formatHead(request, 200).slice(0, -'\r\n'.length);
}

/** Sends answers that do not end, and records their connections. */
export class EndlessAnswers {
  readonly connections: EndlessConnection[] = [];
  readonly script: Script = (socket, request) => this.answer(socket, request);
  /** Bytes after which a connection sends nothing more, and stays open. */
  maxSentBytes = Infinity;

  /** @param part - What does not end. */
  constructor(private readonly part: EndlessPart) {}

  /** Returns how many connections have sent a number of bytes. */
  countSent(bytes: number): number {
    return this.connections.filter(({sentBytes}) => sentBytes >= bytes).length;
  }

  private answer(socket: Socket, request: ReceivedRequest): void {
    const connection: EndlessConnection = {
      requestedMs: performance.now(),
      sentBytes: 0,
    };
    this.connections.push(connection);
    socket.write(this.part.formatStart(request));
    const timer = setInterval(() => {
      // Bytes that the host does not read must not pile up here.
      if (
        !socket.writableNeedDrain &&
        connection.sentBytes < this.maxSentBytes
      ) {
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
