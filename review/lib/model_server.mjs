// Stand-in of a model server that moves the memory of its runs, as PROTOCOL.md describes
// /kv-move and Kv-From. It works on up to `slots` requests at once. Their prompts are read in
// chunks by turns, so that all of them make progress, and a prompt is read when its share of the
// server's speed suffices. Moves run one after another on the link of their source.
import {createServer} from 'node:net';
import {listen, parseHead} from './net.mjs';

/** Copies by handle: where they are, and how many events their run had made. */
const copies = new Map();
let handles = 0;

/** Figures of `redactor` at casillas-playa. */
const PREFILL_TOKENS_PER_MS = 101;
const KV_BYTES_PER_TOKEN = 327_680;
const LINK_BYTES_PER_MS = (340_000 * 1e6) / 8 / 1000;
const MOVE_SETUP_MS = 2.7;
const STEP_MS = 30;

export class ModelServer {
  service = 'redactor';
  slots = 64;
  sockets = new Set();
  /** Runs that this server began to work on. */
  runs = [];
  active = new Map();
  events = 20;
  gapMs = 25;
  /** Ends when the link is free. */
  link = Promise.resolve();

  constructor(id, zone, system) {
    Object.assign(this, {id, zone, system});
  }

  async start() {
    this.server = createServer(socket => this.serve(socket));
    this.address = await listen(this.server);
    this.timer = setInterval(() => this.prefill(), STEP_MS);
    this.system.register(this);
  }

  /** Reads a part of each prompt that is not read yet. */
  prefill() {
    const nowMs = this.system.nowMs();
    const tokens = (nowMs - (this.steppedMs ?? nowMs)) * PREFILL_TOKENS_PER_MS;
    this.steppedMs = nowMs;
    const reading = [...this.active.values()].filter(run => run.left > 0);
    for (const run of reading) {
      const part = Math.min(run.left, tokens / reading.length);
      run.left -= part;
      run.inMemory += part;
      if (run.left <= 0) {
        run.onRead();
      }
    }
  }

  stop() {
    clearInterval(this.timer);
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
        const body = received.subarray(head.length, length).toString();
        received = received.subarray(length);
        this.accept(socket, head, body);
      }
    });
  }

  accept(socket, {line, headers}, body) {
    const meant = headers['expected-instance'];
    const id = headers['request-id'];
    if (meant !== undefined && meant !== this.id) {
      this.write(socket, 421, id, '', ['Not-Executed: 1']);
      return;
    }
    if (line.startsWith('POST /kv-move ')) {
      void this.move(socket, JSON.parse(body));
      return;
    }
    if (headers['token-count'] === undefined) {
      this.write(socket, 404, id, '', ['Not-Executed: 1']);
      return;
    }
    const from = headers['kv-from'];
    let generated = 0;
    let inCopy = 0;
    if (from !== undefined) {
      const copy = copies.get(from);
      if (copy === undefined || copy.to !== this.address || copy.id !== id) {
        this.write(socket, 503, id, '', ['Not-Executed: 1']);
        return;
      }
      copies.delete(from);
      generated = copy.generated;
      inCopy = copy.inMemory;
    }
    if (this.active.size >= this.slots) {
      this.write(socket, 503, id, '', ['Not-Executed: 1']);
      return;
    }
    const after = Number(headers['last-event-id'] ?? 0);
    const promptTokens = Number(headers['token-count'].split(',')[0]);
    const inMemory = from === undefined ? 0 : inCopy;
    void this.run(socket, id, {after, from, generated, promptTokens, inMemory});
  }

  async run(socket, id, {after, from, generated, promptTokens, inMemory}) {
    const run = {
      id,
      server: this.id,
      atMs: this.system.nowMs(),
      from,
      generated,
      socket,
      inMemory,
      left: Math.max(1, promptTokens - inMemory),
      moved: 0,
    };
    const isRead = new Promise(resolve => (run.onRead = resolve));
    this.runs.push(run);
    this.active.set(id, run);
    const end = how => {
      run.end ??= how;
      run.endMs ??= this.system.nowMs();
      this.active.delete(id);
    };
    socket.once('close', () => end('dropped: channel closed'));
    await isRead;
    if (run.end !== undefined) {
      return;
    }
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: ${this.id}.${id}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n`,
    );
    for (let number = after + 1; number <= this.events; number++) {
      await pause(this.gapMs);
      if (run.end !== undefined) {
        return;
      }
      run.generated = number;
      const event = `id: ${number}\ndata: piece ${number} of ${id}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
    end('answered');
    socket.write('0\r\n\r\n');
  }

  /** Copies the memory of a run; with `last`, stops it and closes its stream without its end. */
  async move(socket, {id, to, last}) {
    const run = this.active.get(id);
    if (run === undefined) {
      this.write(socket, 404, undefined, '{}');
      return;
    }
    if (run.isMoving) {
      this.write(socket, 409, undefined, '{}');
      return;
    }
    run.isMoving = true;
    if (last === true) {
      run.end = 'stopped by kv-move';
      run.endMs = this.system.nowMs();
      this.active.delete(id);
      run.socket.destroySoon();
    }
    await this.transfer(run);
    run.isMoving = false;
    const handle = `h${++handles}`;
    if (last === true) {
      const {generated, inMemory} = run;
      const copy = {id, to, generated, inMemory};
      copies.set(`${this.address}/${handle}`, copy);
    }
    const answer = JSON.stringify({handle, created: run.generated});
    this.write(socket, 200, undefined, answer);
  }

  /** Sends what is new of a run's memory, after the transfers before it. */
  transfer(run) {
    const before = this.link;
    this.link = (async () => {
      await before;
      const tokens = run.inMemory - run.moved;
      run.moved = run.inMemory;
      const bytes = tokens * KV_BYTES_PER_TOKEN;
      await pause(MOVE_SETUP_MS + bytes / LINK_BYTES_PER_MS);
    })();
    return this.link;
  }

  write(socket, status, id, body, headers = []) {
    socket.write(
      [
        `HTTP/1.1 ${status} X`,
        ...(id === undefined ? [] : [`Request-Id: ${id}`]),
        ...headers,
        `Content-Length: ${body.length}`,
        'Keep-Alive: timeout=5',
        '',
        body,
      ].join('\r\n'),
    );
  }
}

function pause(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
