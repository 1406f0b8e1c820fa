// Stand-in of a model server that moves the memory of its runs, as PROTOCOL.md describes
// /kv-move and Kv-From. It works on up to `slots` requests at once. Their prompts are read in
// chunks by turns between the tokens of its streams. Moves run one after another on the link of their source.
import {createServer} from 'node:net';
import {listen, parseHead} from './net.mjs';

/** Copies by handle: where they are, and how many events their run had made. */
const copies = new Map();
let handles = 0;

/** Figures of `redactor` at casillas-playa. */
const PREFILL_TOKENS_PER_MS = 101;
const CHUNK_TOKENS = 2048;
const STEP_MS = 2.97;
const STEP_MS_PER_SLOT = 0.0222;
const PAIRS_MS_PER_MILLION = 0.184;
const TOKENS_PER_EVENT = 6;
const KV_BYTES_PER_TOKEN = 327_680;
const LINK_BYTES_PER_MS = (340_000 * 1e6) / 8 / 1000;
const MOVE_SETUP_MS = 2.7;
/** Pause between looks for work while there is none. */
const IDLE_MS = 5;

export class ModelServer {
  service = 'redactor';
  slots = 64;
  sockets = new Set();
  /** Runs that this server began to work on. */
  runs = [];
  active = new Map();
  /** Ends when the link is free. */
  link = Promise.resolve();

  constructor(id, zone, system) {
    Object.assign(this, {id, zone, system});
  }

  async start() {
    this.server = createServer(socket => this.serve(socket));
    this.address = await listen(this.server);
    void this.work();
    this.system.register(this);
  }

  /** Makes steps: each reads a chunk of the prompts by turns, and one token of each stream. */
  async work() {
    let dueMs = this.system.nowMs();
    while (!this.isStopped) {
      const active = [...this.active.values()];
      const stepMs = active.length === 0 ? IDLE_MS : this.step(active);
      dueMs = Math.max(dueMs + stepMs, this.system.nowMs() - stepMs);
      await pause(Math.max(0, dueMs - this.system.nowMs()));
    }
  }

  /** Makes a step; returns how long it takes. */
  step(active) {
    const reading = active.filter(({left}) => left > 0);
    let chunk = 0;
    let pairs = 0;
    for (const run of reading) {
      const part = Math.min(run.left, CHUNK_TOKENS / reading.length);
      run.left -= part;
      run.inMemory += part;
      chunk += part;
      pairs += part * run.inMemory;
    }
    for (const run of active) {
      if (run.left <= 0) {
        this.addToken(run);
      }
    }
    return (
      STEP_MS +
      STEP_MS_PER_SLOT * active.length +
      chunk / PREFILL_TOKENS_PER_MS +
      (pairs / 1e6) * PAIRS_MS_PER_MILLION
    );
  }

  /** Makes one token of a stream, and sends an event when there are enough. */
  addToken(run) {
    run.tokens++;
    run.inMemory++;
    run.firstTokenMs ??= this.system.nowMs();
    const event = Math.floor(run.tokens / TOKENS_PER_EVENT);
    if (event <= run.sentEvent) {
      return;
    }
    run.sentEvent = event;
    const {socket, id} = run;
    if (!run.hasHead) {
      run.hasHead = true;
      socket.write(
        `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: ${this.id}.${id}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n`,
      );
    }
    const text = `id: ${event}\ndata: piece ${event} of ${id}\n\n`;
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    if (run.tokens >= run.maxTokens) {
      run.finish('answered');
      socket.write('0\r\n\r\n');
    }
  }

  stop() {
    this.isStopped = true;
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
    const held = copies.get(from);
    const isHere = held?.to === this.address && held.id === id;
    if (from !== undefined && !isHere) {
      this.write(socket, 503, id, '', ['Not-Executed: 1']);
      return;
    }
    copies.delete(from);
    const copy = held?.state;
    if (this.active.size >= this.slots) {
      this.write(socket, 503, id, '', ['Not-Executed: 1']);
      return;
    }
    const after = Number(headers['last-event-id'] ?? 0);
    const [promptTokens, maxTokens] = headers['token-count']
      .split(',')
      .map(Number);
    const run = {
      id,
      server: this.id,
      atMs: this.system.nowMs(),
      socket,
      maxTokens,
      moved: 0,
      ...(copy ?? {tokens: 0, inMemory: 0, left: promptTokens}),
      sentEvent: after,
    };
    run.finish = how => {
      run.end ??= how;
      run.endMs ??= this.system.nowMs();
      this.active.delete(id);
    };
    this.runs.push(run);
    this.active.set(id, run);
    socket.once('close', () => run.finish('dropped: channel closed'));
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
      run.finish('stopped by kv-move');
      run.socket.destroySoon();
    }
    await this.transfer(run);
    run.isMoving = false;
    const handle = `h${++handles}`;
    if (last === true) {
      const {tokens, inMemory, left, firstTokenMs} = run;
      const state = {tokens, inMemory, left, firstTokenMs};
      copies.set(`${this.address}/${handle}`, {id, to, state});
    }
    const answer = JSON.stringify({handle, created: run.sentEvent});
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
