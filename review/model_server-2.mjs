// A model server: answers with a stream of events, and copies the memory of a run to another server
// (`POST /kv-move`), one copy after the other on its link.
import {createServer} from 'node:net';
import {LOOPBACK, Parser, sleep} from './net-2.mjs';
import {formatAnswer} from './server-2.mjs';

const HEARTBEAT_MS = 1200;
/** Memory of a run of 12,000 tokens at 327,680 bytes each, on a link of 340,000 Mbit/s. */
const MOVE_MS = (12_000 * 327_680 * 8) / 340_000_000;
const TWICE_BETWEEN_ZONES = 2;
const OK = 200;
const NOT_FOUND = 404;

export class ModelServer {
  /**
   * @param options.eventMs - Time between the events of a stream.
   * @param options.events - Events of a whole stream.
   */
  constructor(options) {
    this.options = options;
    this.id = options.id;
    this.state = 'ready';
    this.isDark = false;
    this.sequence = 0;
    this.sockets = new Set();
    this.runs = new Map();
    this.link = Promise.resolve();
    this.server = createServer({noDelay: true}, socket => this.accept(socket));
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, LOOPBACK, resolve));
    this.address = `${LOOPBACK}:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  /** Announces that the server leaves, and lets it go silent when its time is over. */
  async leave(leavesMs) {
    this.state = 'draining';
    this.leavesAtMs = performance.now() + leavesMs;
    this.beat();
    await sleep(leavesMs);
    this.isDark = true;
    clearInterval(this.timer);
  }

  beat() {
    const {store, service, zone} = this.options;
    store.put('servers', this.id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 64,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
      spot: true,
      ...(this.leavesAtMs === undefined
        ? {}
        : {leaves_ms: Math.max(0, this.leavesAtMs - performance.now())}),
    });
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    const parser = new Parser(request => {
      if (!this.isDark) {
        this.receive(socket, request);
      }
    });
    socket.on('data', bytes => parser.add(bytes));
  }

  receive(socket, request) {
    const {headers} = request;
    if (headers.get('expected-instance') !== this.id) {
      const other = {'Not-Executed': '1', 'Instance-Id': this.id};
      this.write(socket, formatAnswer(request, 421, other));
    } else if (request.line.startsWith('POST /kv-move ')) {
      void this.move(socket, JSON.parse(request.body));
    } else {
      void this.run(socket, request);
    }
  }

  write(socket, text) {
    if (!this.isDark && !socket.destroyed) {
      socket.write(text);
    }
  }

  async move(socket, {id, to, last}) {
    const {record} = this.options;
    record('move asked', {id, server: this.id, to, last: last === true});
    const turn = this.link;
    let finish;
    this.link = new Promise(resolve => (finish = resolve));
    await turn;
    const run = this.runs.get(id);
    if (run !== undefined) {
      await sleep(run.wasCopied ? 1 : MOVE_MS * TWICE_BETWEEN_ZONES);
      run.wasCopied = true;
    }
    finish();
    if (run === undefined || this.isDark) {
      this.answerMove(socket, NOT_FOUND, {});
      return;
    }
    if (last === true) {
      run.isStopped = true;
      run.socket.destroy();
    }
    record('moved', {id, server: this.id, last: last === true});
    this.answerMove(socket, OK, {handle: id, created: run.event});
  }

  answerMove(socket, status, body) {
    const type = {'Content-Type': 'application/json'};
    this.write(
      socket,
      formatAnswer(undefined, status, type, JSON.stringify(body)),
    );
  }

  async run(socket, request) {
    const {record, eventMs, events} = this.options;
    const id = request.headers.get('request-id');
    const run = {event: Number(request.headers.get('last-event-id') ?? 0)};
    Object.assign(run, {socket, isStopped: false, wasCopied: false});
    this.runs.set(id, run);
    record('run', {id, server: this.id, after: run.event});
    const head = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${id}`,
      `Server-Signature: s.${id}`,
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
      'Keep-Alive: timeout=10',
    ];
    this.write(socket, `${head.join('\r\n')}\r\n\r\n`);
    while (run.event < events && !run.isStopped && !socket.destroyed) {
      await sleep(eventMs);
      run.event++;
      const event = `id: ${run.event}\ndata: six tokens of ${id}\n\n`;
      this.write(socket, `${event.length.toString(16)}\r\n${event}\r\n`);
    }
    this.runs.delete(id);
    if (!run.isStopped) {
      this.write(socket, '0\r\n\r\n');
    }
  }
}
