import {Socket} from 'node:net';
import {
  endConnection,
  formatChunk,
  formatHead,
  ReceivedRequest,
  FakeServer,
} from '../platform/fakes/fake_server.js';
import {Arrival, EndlessAnswer, History} from './history.js';
import {Link} from './link.js';
import {FaultKind} from './schedule.js';
import {findStreamRoute, StreamRoute} from './stream_events.js';

/** Faults of a server; each may be switched while it runs. */
export interface ServerFaults {
  /** Accepts requests and sends nothing. */
  unresponsive: boolean;
  /** Runs requests and resets their connections. */
  losesAnswers: boolean;
  /** Cuts some answers off, and sends others with the id of another request. */
  corruptsAnswers: boolean;
  /** Sends answers with neither length nor chunks, and breaks some off. */
  omitsFraming: boolean;
  /** Answers with an error of its own. */
  fails: boolean;
  /** Answers that it has no capacity. */
  shedsLoad: boolean;
  /** Whether it rejects three of four requests. */
  rejectsMost: boolean;
  /** Announces a limit in its answers. */
  limits: boolean;
  /** Rejects requests and asks their hosts for a time without requests. */
  asksForBackoff: boolean;
  /** States in its answers that it leaves. */
  isLeaving: boolean;
  /** States in its answers that it is brittle. */
  isBrittle: boolean;
  /** Sends bytes without end instead of streams. */
  neverEnds: boolean;
}

/** Dependencies of a server. */
export interface SoakServerOptions {
  readonly history: History;
  readonly getNowMs: () => number;
  /** Returns whether the host with an address does not reach servers. */
  readonly isCutOff: (sourceAddress: string) => boolean;
  /** Called when the server crashes because of the request that crashes servers. */
  readonly onCrash: (server: SoakServer) => void;
  /** Called when it crashes because of the part of a prompt that crashes servers. */
  readonly onPartCrash: (server: SoakServer) => void;
}

/** Limit that a server announces, in requests per second. */
export const LIMIT_PER_SECOND = 1;
/** Time for which a server asks a host to send it no requests, in seconds. */
const BACKOFF_S = 1.5;
const WORK_MS = 15;
/** A server that rejects most requests takes one of so many. */
const TAKEN_ONE_OF = 4;
/** Headers that callers send or hosts set, and that no server may see as they were sent. */
const SECRET_HEADERS = ['credential', 'hold', 'kv-backup'];
/** Path of orders to copy a run; these servers have no room for copies. */
const COPY_PATH = '/kv-move';
/** Id of the part of a prompt that crashes servers. */
export const CRASHING_PART = 'bad0';

/** Size of the pieces of bytes without end, and the interval between them. */
const ENDLESS_PIECE_BYTES = 16_384;
const ENDLESS_INTERVAL_MS = 2;

/** Where bytes without end are sent. */
const EndlessForm = {
  CHUNKED: 'chunked',
  UNFRAMED: 'unframed',
  HEAD: 'head',
} as const;
const ENDLESS_FORMS = Object.values(EndlessForm);

/** Where a stream without a marked end is broken off. */
interface StreamEnd {
  readonly event: number;
  /** Characters of that event that are sent. */
  readonly length: number;
  readonly isReset: boolean;
}

/** The ends of streams without a marked end, in turn; absent for a complete stream. */
const STREAM_ENDS: readonly (StreamEnd | undefined)[] = [
  undefined,
  {event: 3, length: 6, isReset: false},
  {event: 5, length: 12, isReset: false},
  {event: 4, length: 0, isReset: true},
  {event: 8, length: 9, isReset: true},
  {event: 1, length: 0, isReset: false},
];

/** A backend server, the name of its entry, and the link through which hosts reach it. */
export class SoakServer {
  readonly faults: ServerFaults = {
    unresponsive: false,
    losesAnswers: false,
    corruptsAnswers: false,
    omitsFraming: false,
    fails: false,
    shedsLoad: false,
    rejectsMost: false,
    limits: false,
    asksForBackoff: false,
    isLeaving: false,
    isBrittle: false,
    neverEnds: false,
  };
  readonly link: Link;
  private readonly server: FakeServer;
  private port: number | undefined;
  private served = 0;
  /** Faults for which it is silent now. */
  private readonly silences = new Set<FaultKind>();
  /** What it sends once it is no longer silent, in order. */
  private readonly delayed: (() => void)[] = [];

  /**
   * @param name - Name of the server and of its entry in the store.
   * @param startedMs - Unix time of its start in milliseconds; distinguishes its incarnations.
   * @param version - Version of its software, which its events name.
   * @param options - Dependencies of the server.
   */
  constructor(
    readonly name: string,
    readonly startedMs: number,
    readonly version: string,
    private readonly options: SoakServerOptions,
  ) {
    this.server = new FakeServer((socket, request) =>
      this.serve(socket, request),
    );
    this.link = new Link(() => this.port, options.isCutOff);
  }

  /** Identifies this incarnation. */
  get incarnation(): string {
    return `${this.name}@${this.startedMs}`;
  }

  private get isSilent(): boolean {
    return this.silences.size > 0;
  }

  /** Starts listening; returns the address at which hosts reach it. */
  async listen(): Promise<string> {
    const address = await this.server.listen();
    this.port = Number(address.split(':')[1]);
    return this.link.listen();
  }

  /**
   * Makes the server silent, or ends that. A silent server runs requests and keeps connections,
   * and sends nothing; it then goes on where it was.
   * @param fault - The fault that makes it silent; it may be silent for several.
   * @param isSilent - Whether the fault begins.
   */
  setSilent(fault: FaultKind, isSilent: boolean): void {
    if (isSilent) {
      this.silences.add(fault);
    } else {
      this.silences.delete(fault);
    }
    while (!this.isSilent && this.delayed.length > 0) {
      this.delayed.shift()?.();
    }
  }

  /** Terminates at once, with all requests in flight. */
  crash(): void {
    const {history, getNowMs} = this.options;
    history.serverEnds.push({server: this.incarnation, atMs: getNowMs()});
    this.port = undefined;
    this.delayed.length = 0;
    this.server.stop();
    this.link.stop();
  }

  /** Sends something now, or when the server is no longer silent. */
  private send(action: () => void): void {
    if (this.isSilent) {
      this.delayed.push(action);
    } else {
      action();
    }
  }

  private serve(socket: Socket, request: ReceivedRequest): void {
    const {headers, line, body} = request;
    const [method = '', path = ''] = line.split(' ');
    const id = headers.get('request-id') ?? '';
    if (path === COPY_PATH) {
      this.send(() =>
        socket.write(formatHead(request, 503, ['Content-Length: 0'])),
      );
      return;
    }
    if (headers.get('expected-instance') !== this.name) {
      const headerLines = ['Content-Length: 0'];
      this.send(() => socket.write(formatHead(request, 421, headerLines)));
      return;
    }
    const arrival: Arrival = {
      id,
      server: this.incarnation,
      atMs: this.options.getNowMs(),
      method,
      path,
      body,
      customer: headers.get('tenant') ?? '',
      leaked: SECRET_HEADERS.filter(name => headers.has(name)),
      hasCrashingPart: hasCrashingPart(headers),
      after: Number(headers.get('last-event-id') ?? 0),
      ran: false,
      eventsMs: [],
      answer: undefined,
    };
    this.options.history.arrivals.push(arrival);
    this.served++;
    const {shedsLoad, rejectsMost, asksForBackoff} = this.faults;
    const isRejected = rejectsMost && this.served % TAKEN_ONE_OF !== 0;
    if (shedsLoad || isRejected || asksForBackoff) {
      const headerLines = [
        'Not-Executed: 1',
        'Content-Length: 0',
        ...(asksForBackoff ? this.createBackoffHeader(id) : []),
        ...this.createStatementHeaders(id),
      ];
      this.send(() => socket.write(formatHead(request, 503, headerLines)));
      return;
    }
    if (this.faults.unresponsive) {
      return;
    }
    arrival.ran = true;
    if (arrival.hasCrashingPart) {
      setTimeout(() => this.options.onPartCrash(this), WORK_MS);
      return;
    }
    if (body === this.options.history.endingBody) {
      setTimeout(() => this.options.onCrash(this), WORK_MS);
      return;
    }
    const route = findStreamRoute(path);
    if (route !== undefined) {
      this.send(() => this.stream(socket, request, arrival, route));
      return;
    }
    const answer = () => this.answer(socket, request, arrival);
    setTimeout(() => this.send(answer), WORK_MS);
  }

  private answer(
    socket: Socket,
    request: ReceivedRequest,
    arrival: {readonly id: string; answer: string | undefined},
  ): void {
    const {losesAnswers, corruptsAnswers, fails} = this.faults;
    if (losesAnswers) {
      socket.resetAndDestroy();
      return;
    }
    const status = fails ? 500 : 200;
    const body = `${arrival.id} by ${this.incarnation}`;
    const response =
      formatHead(request, status, [
        `Content-Length: ${body.length}`,
        ...this.createStatementHeaders(arrival.id),
      ]) + body;
    if (corruptsAnswers && this.served % 2 === 0) {
      socket.write(response.slice(0, -5), () => socket.resetAndDestroy());
      return;
    }
    if (corruptsAnswers) {
      socket.write(response.replace(/Request-Id: .*/, 'Request-Id: another'));
      return;
    }
    if (this.faults.omitsFraming) {
      this.answerUnframed(socket, request, status, body, arrival);
      return;
    }
    arrival.answer = status === 200 ? body : undefined;
    socket.write(response);
  }

  /** Answers with a body that ends with its connection; resets two of three. */
  private answerUnframed(
    socket: Socket,
    request: ReceivedRequest,
    status: number,
    body: string,
    arrival: {readonly id: string; answer: string | undefined},
  ): void {
    const head = formatHead(
      request,
      status,
      this.createStatementHeaders(arrival.id),
    );
    const isWhole = this.served % 3 === 0;
    const sent = this.served % 3 === 1 ? body.slice(0, -5) : body;
    arrival.answer = isWhole && status === 200 ? body : undefined;
    socket.write(head + sent, () => endConnection(socket, !isWhole));
  }

  private createBackoffHeader(id: string): string[] {
    const {history, getNowMs} = this.options;
    const forMs = BACKOFF_S * 1000;
    const server = this.incarnation;
    history.backoffs.push({id, server, atMs: getNowMs(), forMs});
    return [`Retry-After: ${BACKOFF_S}`];
  }

  /** Creates the headers in which the server states something about itself. */
  private createStatementHeaders(id: string): string[] {
    const {limits, isLeaving, isBrittle} = this.faults;
    if (isLeaving) {
      this.options.history.leavingAnswers.push({id, server: this.incarnation});
    }
    return [
      ...(limits ? [`Server-Limit: ${LIMIT_PER_SECOND}`] : []),
      ...(isLeaving ? ['Server-Leaving: 1'] : []),
      ...(isBrittle ? ['Server-Brittle: 4'] : []),
    ];
  }

  private stream(
    socket: Socket,
    request: ReceivedRequest,
    {id, after, eventsMs}: Arrival,
    {eventCount, intervalMs}: StreamRoute,
  ): void {
    const {omitsFraming} = this.faults;
    if (socket.destroyed) {
      return;
    }
    if (this.faults.neverEnds) {
      this.sendWithoutEnd(socket, request, id);
      return;
    }
    const end = omitsFraming ? drawStreamEnd(this.served) : undefined;
    socket.write(
      formatHead(request, 200, [
        'Content-Type: text/event-stream',
        ...(omitsFraming ? [] : ['Transfer-Encoding: chunked']),
        ...this.createStatementHeaders(id),
      ]),
    );
    let event = after;
    const timer = setInterval(() => {
      if (this.isSilent && !socket.destroyed && this.port !== undefined) {
        return;
      }
      event++;
      if (event > eventCount || socket.destroyed || this.port === undefined) {
        clearInterval(timer);
        if (omitsFraming) {
          // The close of a server that crashes would mark the end of the stream.
          endConnection(socket, event <= eventCount);
        } else {
          socket.write('0\r\n\r\n');
        }
        return;
      }
      if (
        this.faults.losesAnswers ||
        (this.faults.corruptsAnswers && event > 3)
      ) {
        clearInterval(timer);
        socket.resetAndDestroy();
        return;
      }
      if (!this.faults.unresponsive) {
        const text = `id: ${event}\ndata: ${id}.${event}@${this.version}\n\n`;
        if (end !== undefined && event >= end.event) {
          clearInterval(timer);
          socket.write(text.slice(0, end.length), () =>
            endConnection(socket, end.isReset),
          );
          return;
        }
        eventsMs.push(this.options.getNowMs());
        socket.write(omitsFraming ? text : formatChunk(text));
      } else {
        event--;
      }
    }, intervalMs);
  }

  /**
   * Sends a line that never ends in a signed stream, in chunks or unframed, or a head that
   * never ends, until the connection is closed.
   */
  private sendWithoutEnd(
    socket: Socket,
    request: ReceivedRequest,
    id: string,
  ): void {
    const {history, getNowMs} = this.options;
    const endless: EndlessAnswer = {
      id,
      server: this.incarnation,
      bytes: 0,
      closedMs: Infinity,
    };
    history.endlessAnswers.push(endless);
    const form = ENDLESS_FORMS[this.served % ENDLESS_FORMS.length];
    const head = formatHead(request, 200, [
      'Content-Type: text/event-stream',
      ...(form === EndlessForm.CHUNKED ? ['Transfer-Encoding: chunked'] : []),
    ]);
    const start = 'id: 1\ndata: ';
    const end = '\r\n\r\n'.length;
    const isHead = form === EndlessForm.HEAD;
    socket.write(isHead ? `${head.slice(0, -end)}\r\nX-Trace: ` : head);
    const format = form === EndlessForm.CHUNKED ? formatChunk : String;
    socket.write(isHead ? '' : format(start));
    const bytes = format('x'.repeat(ENDLESS_PIECE_BYTES));
    const timer = setInterval(() => {
      if (!this.isSilent && !socket.writableNeedDrain) {
        socket.write(bytes);
        endless.bytes += bytes.length;
      }
    }, ENDLESS_INTERVAL_MS);
    const stop = () => {
      clearInterval(timer);
      endless.closedMs = Math.min(endless.closedMs, getNowMs());
    };
    socket.once('close', stop);
  }
}

function drawStreamEnd(served: number): StreamEnd | undefined {
  return STREAM_ENDS[served % STREAM_ENDS.length];
}

function hasCrashingPart(headers: ReadonlyMap<string, string>): boolean {
  const parts = headers.get('prompt-prefix') ?? '';
  return parts.split(',').some(part => part.startsWith(`${CRASHING_PART}:`));
}
