// Stand-in of the platform's store and of its cloud API, as PROTOCOL.md describes them.
import {createServer} from 'node:http';
import {listen, wait} from './net.mjs';

/** Keeps rows in memory; one version counter for all tables. */
export class Store {
  rows = new Map();
  version = 1;
  waiters = new Set();
  startMs = performance.now();
  /** Calls that arrived, by path. */
  calls = 0;

  async start() {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(error => {
        console.error(`store: ${error.stack}`);
        response.destroy();
      });
    });
    this.address = await listen(this.server);
  }

  stop() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** Writes a row of the operator or of a server. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.set({table, part: '', key, value: text}, ++this.version);
  }

  remove(table, key) {
    this.set({table, part: '', key, removed: true}, ++this.version);
  }

  set(row, version) {
    const key = `${row.table}|${row.part}|${row.key}`;
    this.rows.set(key, {...row, row_version: version});
    for (const wake of this.waiters) {
      wake();
    }
  }

  async handle(request, response) {
    this.calls++;
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    await wait(4);
    switch (url.pathname) {
      case '/rows-get':
        return answer(response, 200, this.read(query));
      case '/rows-parts':
        return answer(response, 200, this.listParts(query));
      case '/rows-feed':
        return this.watch(query, response);
      case '/rows-tx':
        return this.transact(JSON.parse(Buffer.concat(chunks)), response);
      default:
        return answer(response, 404, {});
    }
  }

  state() {
    const now_ms = Math.round(performance.now() - this.startMs);
    return {row_version: this.version, now_ms};
  }

  read(query) {
    const limit = Math.min(Number(query.get('limit') ?? 500), 500);
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const found = [...this.rows.values()]
      .filter(
        row =>
          row.table === query.get('table') &&
          row.part === (query.get('part') ?? '') &&
          !row.removed &&
          row.key >= from &&
          (to === null || row.key < to),
      )
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const rows = found.slice(0, limit);
    return {rows, has_more: found.length > limit, ...this.state()};
  }

  listParts(query) {
    const parts = new Set();
    for (const row of this.rows.values()) {
      if (row.table === query.get('table') && !row.removed) {
        parts.add(row.part);
      }
    }
    return {parts: [...parts].sort(), ...this.state()};
  }

  async watch(query, response) {
    const after = Number(query.get('after_revision'));
    const endMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      const rows = [...this.rows.values()]
        .filter(
          row => row.table === query.get('table') && row.row_version > after,
        )
        .sort((a, b) => a.row_version - b.row_version);
      const leftMs = endMs - performance.now();
      if (rows.length > 0 || leftMs <= 0 || response.destroyed) {
        return answer(response, 200, {rows, ...this.state()});
      }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiters.add(wake);
      });
    }
  }

  transact({expected_revision = [], writes = [], removals = []}, response) {
    const held = ({table, part = '', key}) =>
      this.rows.get(`${table}|${part}|${key}`);
    const current = [];
    let holds = true;
    for (const expected of expected_revision) {
      const row = held(expected);
      const version = row === undefined || row.removed ? 0 : row.row_version;
      holds &&= version === expected.row_version;
      if (version !== 0) {
        current.push(row);
      }
    }
    if (!holds) {
      return answer(response, 412, {rows: current, ...this.state()});
    }
    const version = ++this.version;
    for (const row of writes) {
      this.set({part: '', ...row}, version);
    }
    for (const row of removals) {
      this.set({part: '', ...row, removed: true}, version);
    }
    return answer(response, 200, this.state());
  }
}

/** Accepts every duty call and keeps it. */
export class Cloud {
  calls = [];

  async start() {
    this.server = createServer(async (request, response) => {
      const chunks = [];
      for await (const chunk of request) {
        chunks.push(chunk);
      }
      this.calls.push({
        path: request.url,
        holder: request.headers['duty-holder'],
        fence: Number(request.headers['fencing-token']),
        body: Buffer.concat(chunks).toString(),
      });
      answer(response, 200, {});
    });
    this.address = await listen(this.server);
  }

  stop() {
    this.server?.close();
    this.server?.closeAllConnections();
  }
}

function answer(response, status, body) {
  if (response.destroyed) {
    return;
  }
  response.writeHead(status, {'Content-Type': 'application/json'});
  response.end(JSON.stringify(body));
}
