import {Socket} from 'node:net';
import {
  formatHead,
  SeenRequest,
  StandInServer,
} from '../platform/stand_in/stand_in_server.js';
import {History} from './history.js';
import {Link} from './link.js';

/** How a server serves now; each may be switched while it runs. */
export interface ServerFaults {
  /** Takes requests and says nothing. */
  dark: boolean;
  /** Runs requests and resets their channels. */
  losesAnswers: boolean;
  /** Breaks some answers off, and answers others with another's id. */
  spoils: boolean;
  /** Answers with a failure of its own. */
  fails: boolean;
  /** Says that it has no room. */
  sheds: boolean;
  /** Names a limit in its answers. */
  limits: boolean;
}

/** What a server needs to know of its run. */
export interface SoakServerOptions {
  readonly history: History;
  readonly getNowMs: () => number;
  /** Told when it ends under the request that ends servers. */
  readonly onEnd: (server: SoakServer) => void;
}

/** Requests a second that a server which limits them takes. */
export const LIMIT = 1;
const EVENTS = 8;
const EVENT_MS = 15;
const WORK_MS = 15;
/** Headers that callers send or hosts set, and no server may see as they came. */
const SECRET_HEADERS = ['credential', 'hold', 'kv-backup'];
const STREAM_PREFIX = '/s/';

/** A backend server, its entry's name, and the link by which it is reached. */
export class SoakServer {
  readonly faults: ServerFaults = {
    dark: false,
    losesAnswers: false,
    spoils: false,
    fails: false,
    sheds: false,
    limits: false,
  };
  readonly link: Link;
  private readonly server: StandInServer;
  private port: number | undefined;
  private served = 0;

  /**
   * @param name - What it calls itself.
   * @param bornMs - Unix millisecond of its start; tells its starts apart.
   * @param options - Its run.
   */
  constructor(
    readonly name: string,
    readonly bornMs: number,
    private readonly options: SoakServerOptions,
  ) {
    this.server = new StandInServer((socket, request) =>
      this.serve(socket, request),
    );
    this.link = new Link(() => this.port);
  }

  /** Names this start. */
  get start(): string {
    return `${this.name}@${this.bornMs}`;
  }

  /** Starts to listen; returns the address by which hosts reach it. */
  async listen(): Promise<string> {
    const address = await this.server.listen();
    this.port = Number(address.split(':')[1]);
    return this.link.listen();
  }

  /** Ends at once, with all that it has under way. */
  crash(): void {
    this.port = undefined;
    this.server.stop();
    this.link.stop();
  }

  private serve(socket: Socket, request: SeenRequest): void {
    const {headers, line, body} = request;
    const [method = '', path = ''] = line.split(' ');
    const id = headers.get('request-id') ?? '';
    if (headers.get('expected-instance') !== this.name) {
      const more = ['Content-Length: 0'];
      socket.write(formatHead(request, 421, more));
      return;
    }
    const arrival = {
      id,
      server: this.start,
      atMs: this.options.getNowMs(),
      method,
      path,
      body,
      customer: headers.get('tenant') ?? '',
      leaked: SECRET_HEADERS.filter(name => headers.has(name)),
      after: Number(headers.get('last-event-id') ?? 0),
      ran: false,
      answer: undefined as string | undefined,
    };
    this.options.history.arrivals.push(arrival);
    this.served++;
    if (this.faults.sheds) {
      const more = [
        'Not-Executed: 1',
        'Content-Length: 0',
        ...this.listLimit(),
      ];
      socket.write(formatHead(request, 503, more));
      return;
    }
    if (this.faults.dark) {
      return;
    }
    arrival.ran = true;
    if (body === this.options.history.endingBody) {
      setTimeout(() => this.options.onEnd(this), WORK_MS);
      return;
    }
    if (path.startsWith(STREAM_PREFIX)) {
      this.stream(socket, request, arrival);
      return;
    }
    setTimeout(() => this.answer(socket, request, arrival), WORK_MS);
  }

  private answer(
    socket: Socket,
    request: SeenRequest,
    arrival: {readonly id: string; answer: string | undefined},
  ): void {
    const {losesAnswers, spoils, fails} = this.faults;
    if (losesAnswers) {
      socket.resetAndDestroy();
      return;
    }
    const status = fails ? 500 : 200;
    const body = `${arrival.id} by ${this.start}`;
    const whole =
      formatHead(request, status, [
        `Content-Length: ${body.length}`,
        ...this.listLimit(),
      ]) + body;
    if (spoils && this.served % 2 === 0) {
      socket.write(whole.slice(0, -5), () => socket.resetAndDestroy());
      return;
    }
    if (spoils) {
      socket.write(whole.replace(/Request-Id: .*/, 'Request-Id: another'));
      return;
    }
    arrival.answer = status === 200 ? body : undefined;
    socket.write(whole);
  }

  private listLimit(): string[] {
    return this.faults.limits ? [`Server-Limit: ${LIMIT}`] : [];
  }

  private stream(
    socket: Socket,
    request: SeenRequest,
    {id, after}: {readonly id: string; readonly after: number},
  ): void {
    socket.write(
      formatHead(request, 200, [
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
        ...this.listLimit(),
      ]),
    );
    let event = after;
    const timer = setInterval(() => {
      event++;
      if (event > EVENTS || socket.destroyed || this.port === undefined) {
        clearInterval(timer);
        socket.write('0\r\n\r\n');
        return;
      }
      if (this.faults.losesAnswers || (this.faults.spoils && event > 3)) {
        clearInterval(timer);
        socket.resetAndDestroy();
        return;
      }
      if (!this.faults.dark) {
        const text = `id: ${event}\ndata: ${id}.${event}\n\n`;
        socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      } else {
        event--;
      }
    }, EVENT_MS);
  }
}
