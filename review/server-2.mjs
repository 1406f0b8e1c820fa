// A server of a plain service: a few slots, a short queue, channels that are kept. It registers
// itself in the store and writes there every `heartbeat_ms`.
import {createServer} from 'node:net';
import {LOOPBACK, Parser} from './net-2.mjs';

const HEARTBEAT_MS = 1200;
const IDLE_S = 10;

export class Server {
  /**
   * @param options.store - The store.
   * @param options.service - Name of its service.
   * @param options.record - Called with (event, fields).
   * @param options.answer - Answers a request that has run; by default, with a short body.
   * @param options.workMs - Time that a request takes.
   */
  constructor(options) {
    this.options = {slots: 6, queue: 6, workMs: 20, ...options};
    this.id = options.id;
    this.running = 0;
    this.queued = [];
    this.sockets = new Set();
    this.sequence = 0;
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

  beat() {
    const {store, service, slots, zone} = this.options;
    store.put('servers', this.id, {
      service,
      address: this.address,
      zone: zone ?? 'here',
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
    });
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    const parser = new Parser(request => this.receive(socket, request));
    socket.on('data', bytes => parser.add(bytes));
  }

  receive(socket, request) {
    const {headers} = request;
    this.options.onRequest?.(socket, request, this);
    if (headers.get('expected-instance') !== this.id) {
      const headers = {'Not-Executed': '1', 'Instance-Id': this.id};
      this.send(socket, request, 421, headers);
      return;
    }
    if (this.running < this.options.slots) {
      this.run(socket, request);
    } else if (this.queued.length < this.options.queue) {
      this.queued.push([socket, request]);
    } else {
      this.reject(socket, request);
    }
  }

  /** Rejects a request since the server is full; it does not run. */
  reject(socket, request) {
    const id = request.headers.get('request-id');
    this.options.record('rejected', {server: this.id, id});
    this.send(socket, request, 503, {'Not-Executed': '1'});
  }

  run(socket, request) {
    this.running++;
    const id = request.headers.get('request-id');
    this.options.record('run', {server: this.id, id, line: request.line});
    setTimeout(() => {
      this.running--;
      if (!socket.destroyed) {
        const {answer} = this.options;
        if (answer === undefined) {
          this.send(socket, request, 200, {}, `done ${id}`);
        } else {
          answer(socket, request, this);
        }
      }
      const next = this.queued.shift();
      if (next !== undefined) {
        this.run(...next);
      }
    }, this.options.workMs);
  }

  send(socket, request, status, headers = {}, body = '') {
    socket.write(formatAnswer(request, status, headers, body));
    this.options.onAnswered?.(socket, this);
  }
}

export function formatAnswer(request, status, headers = {}, body = '') {
  const id = request?.headers.get('request-id');
  const lines = [
    `HTTP/1.1 ${status} Answer`,
    ...(id === undefined ? [] : [`Request-Id: ${id}`]),
    ...(status >= 200 && status < 300 ? [`Server-Signature: s.${id}`] : []),
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
    `Keep-Alive: timeout=${IDLE_S}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
