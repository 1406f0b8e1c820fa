// Stand-in of a plain server, as PROTOCOL.md describes it: `slots` requests at a time, a short
// queue, Expected-Instance, Not-Executed, kept channels. It drops a request whose channel closes.
import {createServer} from 'node:net';
import {listen, parseHead} from './net.mjs';

export class PlainServer {
  service = 'mostrador';
  slots = 6;
  queueLimit = 24;
  active = 0;
  waiting = [];
  sockets = new Set();
  /** Requests that began to run: id, when, and how they ended. */
  runs = [];

  constructor(id, zone, system, workMs) {
    Object.assign(this, {id, zone, system, workMs});
  }

  async start() {
    this.server = createServer(socket => this.serve(socket));
    this.address = await listen(this.server);
    this.system.register(this);
  }

  stop() {
    this.server?.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  serve(socket) {
    this.sockets.add(socket);
    let received = Buffer.alloc(0);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', bytes => {
      received = Buffer.concat([received, bytes]);
      for (;;) {
        const head = parseHead(received);
        const length =
          head && head.length + Number(head.headers['content-length'] ?? 0);
        if (head === undefined || received.length < length) {
          return;
        }
        received = received.subarray(length);
        this.accept(socket, head);
      }
    });
  }

  accept(socket, {line, headers}) {
    if (line.includes(' /health')) {
      this.write(socket, 200, [`Instance-Id: ${this.id}`], 'ok');
      return;
    }
    const id = headers['request-id'];
    const meant = headers['expected-instance'];
    if (meant !== undefined && meant !== this.id) {
      this.write(socket, 421, [`Request-Id: ${id}`, 'Not-Executed: 1'], '');
      return;
    }
    const request = {socket, id, line};
    if (this.active < this.slots) {
      this.run(request);
    } else if (this.waiting.length < this.queueLimit) {
      this.waiting.push(request);
    } else {
      this.write(socket, 503, [`Request-Id: ${id}`, 'Not-Executed: 1'], '');
    }
  }

  run({socket, id, line}) {
    this.active++;
    const run = {id, server: this.id, line, atMs: this.system.nowMs()};
    this.runs.push(run);
    const end = how => {
      clearTimeout(timer);
      socket.off('close', drop);
      run.end ??= how;
      run.endMs ??= this.system.nowMs();
      this.active--;
      while (this.active < this.slots) {
        const next = this.waiting.shift();
        if (next === undefined) {
          return;
        }
        if (!next.socket.destroyed) {
          this.run(next);
        }
      }
    };
    const drop = () => end('dropped: channel closed');
    const timer = setTimeout(() => {
      const body = `answer of ${this.id} to ${id}`;
      this.write(
        socket,
        200,
        [`Request-Id: ${id}`, `Server-Signature: ${this.id}.${id}`],
        body,
      );
      end('answered');
    }, this.workMs());
    socket.once('close', drop);
  }

  write(socket, status, headers, body) {
    socket.write(
      [
        `HTTP/1.1 ${status} X`,
        ...headers,
        `Content-Length: ${body.length}`,
        'Keep-Alive: timeout=5',
        '',
        body,
      ].join('\r\n'),
    );
  }
}
