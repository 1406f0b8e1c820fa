// Stand-in of a model server, as PROTOCOL.md describes it: events with increasing ids, streams
// that go on after Last-Event-Id, Expected-Instance. `spoil` may make one of its answers wrong.
import {createServer} from 'node:net';
import {listen, parseHead} from './net.mjs';

export class StreamServer {
  service = 'redactor';
  slots = 64;
  sockets = new Set();
  runs = [];
  events = 40;
  pauseMs = 25;
  /** Called before each event; returns bytes to send in its place, or `undefined`. */
  spoil = () => undefined;

  constructor(id, zone, system) {
    Object.assign(this, {id, zone, system});
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
    if (line.startsWith('GET /report')) {
      const body = JSON.stringify({
        stage: 'both',
        models: [{name: 'm', version: 1, adapters: []}],
        busy: false,
        sequence: 0,
        queued: 0,
        active: 0,
        kv_used: 0,
        kv_total: 801136,
        handles: 0,
      });
      socket.write(
        `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
      return;
    }
    const id = headers['request-id'];
    if (headers['expected-instance'] !== this.id) {
      socket.write(
        `HTTP/1.1 421 X\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    void this.stream(socket, id, Number(headers['last-event-id'] ?? 0));
  }

  async stream(socket, id, after) {
    const run = {id, server: this.id, atMs: this.system.nowMs(), after};
    this.runs.push(run);
    await new Promise(resolve => setTimeout(resolve, this.pauseMs));
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: ${this.id}.${id}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n`,
    );
    for (let number = after + 1; number <= this.events; number++) {
      if (socket.destroyed) {
        run.end = 'dropped: channel closed';
        return;
      }
      const spoiled = this.spoil(id, number);
      if (spoiled !== undefined) {
        run.end = 'spoiled and broken off';
        socket.write(formatChunk(spoiled), () => socket.destroySoon());
        return;
      }
      socket.write(formatChunk(formatEvent(id, number)));
      await new Promise(resolve => setTimeout(resolve, this.pauseMs));
    }
    run.end = 'answered';
    socket.write('0\r\n\r\n');
  }
}

export function formatEvent(id, number) {
  return `id: ${number}\ndata: piece ${number} of ${id}\n\n`;
}

function formatChunk(text) {
  const bytes = Buffer.from(text, 'latin1');
  return Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}\r\n`),
    bytes,
    Buffer.from('\r\n'),
  ]);
}
