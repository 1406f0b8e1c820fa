// The platform's store, as PROTOCOL.md describes it: rows in tables, transactions, feeds.
import {createServer} from 'node:http';
import {listen, stopServer} from './net-2.mjs';

const TRANSACTION_MS = 5;

export class Store {
  constructor() {
    this.rows = new Map();
    this.version = 1;
    this.waiting = new Set();
    this.startMs = performance.now();
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  async start() {
    this.address = await listen(this.server);
  }

  stop() {
    stopServer(this.server);
  }

  /** Writes a row with an empty part, as the operator and the servers do. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.set(
      {table, part: '', key, value: text, row_version: ++this.version},
      true,
    );
  }

  remove(table, key) {
    const row_version = ++this.version;
    this.set({table, part: '', key, row_version, removed: true}, true);
  }

  set(row, wakes) {
    this.rows.set(`${row.table}|${row.part}|${row.key}`, row);
    if (wakes) {
      this.wake();
    }
  }

  wake() {
    for (const wake of [...this.waiting]) {
      wake();
    }
  }

  async handle(request, response) {
    const pieces = [];
    for await (const piece of request) {
      pieces.push(piece);
    }
    const url = new URL(request.url, 'http://store');
    await new Promise(resolve => setTimeout(resolve, TRANSACTION_MS));
    switch (`${request.method} ${url.pathname}`) {
      case 'GET /rows-get':
        this.answer(response, 200, this.read(url.searchParams));
        return;
      case 'GET /rows-feed':
        await this.feed(url.searchParams, response);
        return;
      case 'POST /rows-tx':
        this.transact(JSON.parse(Buffer.concat(pieces)), response);
        return;
      default:
        this.answer(response, 404, {});
    }
  }

  read(query) {
    const from = query.get('from') ?? '';
    const to = query.get('to') ?? '\uffff';
    const limit = Math.min(500, Number(query.get('limit') ?? 500));
    const found = this.list(query.get('table'))
      .filter(
        row =>
          row.part === (query.get('part') ?? '') &&
          row.removed !== true &&
          row.key >= from &&
          row.key < to,
      )
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    return {
      rows: found.slice(0, limit),
      has_more: found.length > limit,
      ...this.state(),
    };
  }

  async feed(query, response) {
    const after = Number(query.get('after_revision'));
    const endMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      const rows = this.list(query.get('table'))
        .filter(row => row.row_version > after)
        .sort((one, other) => one.row_version - other.row_version);
      const leftMs = endMs - performance.now();
      if (rows.length > 0 || leftMs <= 0) {
        this.answer(response, 200, {rows, ...this.state()});
        return;
      }
      await new Promise(resolve => {
        const finish = () => {
          clearTimeout(timer);
          this.waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, leftMs);
        this.waiting.add(finish);
      });
    }
  }

  transact(body, response) {
    const conditions = body.expected_revision ?? [];
    const writes = body.writes ?? [];
    const removals = body.removals ?? [];
    const isForbidden = [...writes, ...removals].some(({table}) =>
      ['op', 'servers'].includes(table),
    );
    if (isForbidden) {
      this.answer(response, 403, {});
      return;
    }
    const held = conditions.map(row =>
      this.rows.get(`${row.table}|${row.part}|${row.key}`),
    );
    const holds = conditions.every((row, index) => {
      const current = held[index];
      const version =
        current === undefined || current.removed ? 0 : current.row_version;
      return version === row.row_version;
    });
    if (!holds) {
      const rows = held.filter(row => row !== undefined && !row.removed);
      this.answer(response, 412, {rows, ...this.state()});
      return;
    }
    const row_version = ++this.version;
    for (const row of writes) {
      this.set({...row, row_version}, false);
    }
    for (const {table, part, key} of removals) {
      this.set({table, part, key, row_version, removed: true}, false);
    }
    this.wake();
    this.answer(response, 200, this.state());
  }

  answer(response, status, body) {
    response.writeHead(status, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(body));
  }

  list(table) {
    return [...this.rows.values()].filter(row => row.table === table);
  }

  state() {
    const now_ms = Math.round(performance.now() - this.startMs);
    return {row_version: this.version, now_ms};
  }
}
