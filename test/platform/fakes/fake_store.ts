import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';

/** A row as the fake store keeps it. */
interface StoreRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value?: string;
  readonly row_version: number;
  readonly removed?: boolean;
}

/** Faults of the fake store; each can be switched on and off while it runs. */
export interface StoreFaults {
  /** Responds with status 503 to every call. */
  busy: boolean;
  /** Accepts calls and never responds. */
  unresponsive: boolean;
  /** Executes writes and closes the connection without a response. */
  dropWriteResponses: boolean;
  /** Accepts watches and never responds, like an unresponsive connection. */
  unresponsiveWatches: boolean;
  /** Responds to watches only when their wait is over, as if nothing had changed. */
  staleWatches: boolean;
  /** Time by which each response comes later, in milliseconds. */
  delayMs: number;
}

type Body = Readonly<Record<string, unknown>>;

/** Content of the store at one time. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoreRow>;
  readonly version: number;
}

/** In-memory fake of the platform's store. */
export class FakeStore {
  readonly faults: StoreFaults = {
    busy: false,
    unresponsive: false,
    dropWriteResponses: false,
    staleWatches: false,
    unresponsiveWatches: false,
    delayMs: 0,
  };
  /** Method and path of each call received. */
  readonly calls: string[] = [];
  private rows = new Map<string, StoreRow>();
  private version = 1;
  /** Number of times that the store was restored from a copy. */
  private era = 0;
  /** Watches after an older version get status 410: that history is no longer kept. */
  private oldestVersion = 0;
  private readonly server: Server;
  private readonly wakeCallbacks = new Set<() => void>();
  private readonly startMs = performance.now();

  constructor() {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  /** Starts listening; returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a row as the operator or a server does. */
  put(table: string, key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.set({table, part: '', key, value: text, row_version: ++this.version});
  }

  /** Reads a row as the operator does; `undefined` if there is none. */
  get(table: string, key: string): unknown {
    const row = this.rows.get(`${table}||${key}`);
    return row?.value === undefined
      ? undefined
      : JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  /** Writes a row whose value need not be JSON. */
  putText(table: string, key: string, text: string): void {
    const value = Buffer.from(text).toString('base64');
    this.set({table, part: '', key, value, row_version: ++this.version});
  }

  /** Removes a row. */
  remove(table: string, key: string): void {
    const row_version = ++this.version;
    this.set({table, part: '', key, row_version, removed: true});
  }

  /** Drops the history, so that watchers have to read the whole table again. */
  dropHistory(): void {
    this.oldestVersion = this.version;
    this.wake();
  }

  /**
   * Makes the store unavailable, or available again. Open connections are reset, and calls
   * get status 503.
   */
  setAway(isAway: boolean): void {
    this.faults.busy = isAway;
    if (isAway) {
      this.server.closeAllConnections();
    }
  }

  /** Copies the content of the store. */
  takeCopy(): StoreCopy {
    return {rows: new Map(this.rows), version: this.version};
  }

  /** Restores the store from a copy: what was written since is lost. */
  restore({rows, version}: StoreCopy): void {
    this.rows = new Map(rows);
    this.version = version;
    this.era++;
    this.wake();
  }

  private set(row: StoreRow): void {
    this.rows.set(`${row.table}|${row.part}|${row.key}`, row);
    if (!this.faults.staleWatches) {
      this.wake();
    }
  }

  private wake(): void {
    for (const wakeCallback of this.wakeCallbacks) {
      wakeCallback();
    }
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const pieces: Buffer[] = [];
    for await (const piece of request) {
      pieces.push(piece as Buffer);
    }
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.push(`${request.method} ${url.pathname}`);
    if (this.faults.unresponsive) {
      return;
    }
    if (this.faults.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
    }
    if (this.faults.busy) {
      this.answer(response, 503, {});
      return;
    }
    if (url.pathname === '/rows-get') {
      this.answer(response, 200, this.read(url.searchParams));
    } else if (url.pathname === '/rows-feed') {
      if (this.faults.unresponsiveWatches) {
        return;
      }
      await this.watch(url.searchParams, response);
    } else {
      const body = JSON.parse(Buffer.concat(pieces).toString()) as Body;
      this.transact(body, response);
    }
  }

  private read(query: URLSearchParams): Body {
    const from = query.get('from') ?? '';
    const to = query.get('to') ?? '\uffff';
    const found = this.list(query.get('table')).filter(
      row =>
        row.part === (query.get('part') ?? '') &&
        row.removed !== true &&
        row.key >= from &&
        row.key < to,
    );
    found.sort((a, b) => (a.key < b.key ? -1 : 1));
    return {rows: found, has_more: false, ...this.getState()};
  }

  private async watch(
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const after = Number(query.get('after_revision'));
    const endMs = performance.now() + Number(query.get('wait_ms'));
    for (;;) {
      if (after < this.oldestVersion || after > this.version) {
        this.answer(response, 410, {});
        return;
      }
      const changed = this.faults.staleWatches
        ? []
        : this.list(query.get('table')).filter(row => row.row_version > after);
      const leftMs = endMs - performance.now();
      if (changed.length > 0 || leftMs <= 0) {
        this.answer(response, 200, {rows: changed, ...this.getState()});
        return;
      }
      await this.waitForChange(leftMs);
    }
  }

  private waitForChange(ms: number): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.wakeCallbacks.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      timer.unref();
      this.wakeCallbacks.add(finish);
    });
  }

  private transact(body: Body, response: ServerResponse): void {
    const conditions = body['expected_revision'] as StoreRow[];
    for (const {table, part, key, row_version} of conditions) {
      const held = this.rows.get(`${table}|${part}|${key}`);
      const version = held === undefined || held.removed ? 0 : held.row_version;
      if (version !== row_version) {
        this.answer(response, 412, {rows: held === undefined ? [] : [held]});
        return;
      }
    }
    const row_version = ++this.version;
    for (const row of body['writes'] as StoreRow[]) {
      this.set({...row, row_version});
    }
    for (const row of body['removals'] as StoreRow[]) {
      this.set({...row, row_version, removed: true});
    }
    if (this.faults.dropWriteResponses) {
      response.destroy();
      return;
    }
    this.answer(response, 200, this.getState());
  }

  private answer(response: ServerResponse, status: number, body: Body): void {
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Store-Era': String(this.era),
    });
    response.end(JSON.stringify(body));
  }

  private list(table: string | null): StoreRow[] {
    return [...this.rows.values()].filter(row => row.table === table);
  }

  private getState(): Body {
    const now_ms = Math.round(performance.now() - this.startMs);
    return {row_version: this.version, now_ms};
  }
}
