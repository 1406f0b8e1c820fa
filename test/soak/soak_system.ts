import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {FakeStore} from '../platform/fakes/fake_store.js';
import {
  getMaxAttempts,
  History,
  LoggedLeaving,
  RequestKind,
} from './history.js';
import {FaultKind, LARGE_RUN_HOSTS} from './schedule.js';
import {SoakHost} from './soak_host.js';
import {SoakServer} from './soak_server.js';
import {STREAM_ROUTES, StreamRoute} from './stream_events.js';

/** Number of hosts and servers in a system. */
export interface SoakSize {
  readonly hosts: number;
  readonly servers: number;
  readonly routes?: number;
}

export const CUSTOMER = 'guild';
export const KEY = 'k1';
/** Customer with a low rate, which one caller exceeds. */
export const LOW_RATE_CUSTOMER = 'press';
export const LOW_RATE_KEY = 'k2';
export const HOST_NAME = 'desk.example';
const DATA_CENTRES = ['tac', 'pdx'];
/** Data centres in large runs; hosts in two of them read the tables for all. */
const LARGE_RUN_DATA_CENTRES = ['tac', 'pdx', 'geg'];
const POLL_MS = 10;
const READY_POLL_MS = 300;
/** Time limit for all hosts to become ready, with allowance for a busy machine. */
const READY_TIMEOUT_MS = 60_000;
const SERVICE = 'ledger';
/** Timeout of routes without streams, in milliseconds. */
export const ROUTE_TIMEOUT_MS = 2000;
const VERSION_COUNT = 2;
/** Time from a crash until the entry expires, and until the server is back, in milliseconds. */
const ENTRY_EXPIRY_MS = 900;
const SERVER_RESTART_MS = 1800;
/** Time for which a leaving server runs after the store has recorded it, in milliseconds. */
const LEAVING_SERVER_STOP_MS = 9000;
/** Time after which the entry of a draining server is removed, in milliseconds. */
const ENTRY_REMOVAL_MS = 2600;
/** Time for which a store is away before it is restored from a copy, in milliseconds. */
const STORE_ABSENCE_MS = 500;
/** Time after which the operator and the servers write again what is lost, in milliseconds. */
const REWRITE_MS = 700;

/** Store, cloud, servers and the real hosts in front of them, all on loopback. */
export class SoakSystem {
  readonly store = new FakeStore();
  readonly hosts: SoakHost[] = [];
  readonly servers: SoakServer[] = [];
  /** Names of the hosts to which the balancer sends new connections. */
  readonly inRotation = new Set<string>();
  /** Source addresses of the hosts that are partitioned from all servers. */
  private readonly cutOff = new Set<string>();
  /** Every server that was started, also those that have left. */
  private readonly allServers = new Set<SoakServer>();
  private readonly cloud: Server;
  /** Address at which each incarnation of a server is reached. */
  private readonly addresses = new Map<string, string>();
  private readonly startMs = performance.now();
  private readonly startedAt = new Date();
  private storePort = 0;
  private version = 0;
  private extraRoute = '';
  private stopped = false;
  private lastServerStartMs = Date.now();
  private sequence = 0;
  private isBrittle = false;
  private isRejecting = false;
  private isSilent = false;
  /** What the operator and the servers have written last, by key of the row. */
  private readonly written = new Map<string, () => void>();

  constructor(
    private readonly size: SoakSize,
    private readonly history: History,
    private readonly folder: string,
  ) {
    this.cloud = createServer((request, response) => {
      let text = '';
      request.on('data', chunk => (text += String(chunk)));
      request.on('end', () => {
        this.recordDutyCall(request.headers, text);
        response.end('{}');
      });
    });
  }

  /** Returns the time since the start of the run, in milliseconds. */
  getNowMs(): number {
    return performance.now() - this.startMs;
  }

  /** Lists when each host logged servers as draining or gone. */
  listLoggedLeavings(): LoggedLeaving[] {
    return this.hosts.flatMap(({options: {name: host}, loggedLeavings}) =>
      loggedLeavings.map(({server, at}) => ({
        host,
        server,
        atMs: at.getTime() - this.startedAt.getTime(),
      })),
    );
  }

  /** Starts everything; resolves once every host is ready. */
  async start(): Promise<void> {
    this.storePort = Number((await this.store.listen()).split(':')[1]);
    await new Promise<void>(resolve => {
      this.cloud.listen(0, '127.0.0.1', resolve);
    });
    for (let index = 0; index < this.size.servers; index++) {
      await this.startServer(`i-${index}`);
    }
    this.changeRoutes();
    const cloudAddress = `127.0.0.1:${(this.cloud.address() as AddressInfo).port}`;
    for (let index = 0; index < this.size.hosts; index++) {
      const host = new SoakHost({
        name: `front-${index}`,
        dataCentre: this.getDataCentre(index),
        folder: this.folder,
        bounds: this.history.bounds,
        getStorePort: () => this.storePort,
        cloudAddress,
        sourceAddress: `127.0.1.${index + 1}`,
      });
      await host.prepare();
      host.start();
      this.hosts.push(host);
    }
    void this.runHealthChecks();
    await this.waitUntilReady();
  }

  /** Waits until every host is in rotation; throws on timeout instead of hanging. */
  async waitUntilReady(): Promise<void> {
    const endMs = this.getNowMs() + READY_TIMEOUT_MS;
    while (this.inRotation.size < this.hosts.length && !this.stopped) {
      if (this.getNowMs() > endMs) {
        throw new Error(
          `hosts not ready within ${READY_TIMEOUT_MS} ms: ${this.describeUnready()}`,
        );
      }
      await wait(POLL_MS);
    }
  }

  private describeUnready(): string {
    return this.hosts
      .filter(({options: {name}}) => !this.inRotation.has(name))
      .map(
        ({options: {name}, logLines}) =>
          `${name} (${logLines.at(-1) ?? 'no log output'})`,
      )
      .join(', ');
  }

  /** Terminates every process and listener that was started here. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.hosts.map(host => host.stop()));
    for (const server of this.servers) {
      server.crash();
    }
    this.store.stop();
    this.cloud.close();
    this.cloud.closeAllConnections();
  }

  /** Returns the hosts to which new connections go: all if none is in rotation. */
  listInRotation(): readonly SoakHost[] {
    const ready = this.hosts.filter(({options}) =>
      this.inRotation.has(options.name),
    );
    return ready.length > 0 ? ready : this.hosts;
  }

  /** Returns a host by its index; indexes wrap around. */
  getHost(number: number): SoakHost {
    const host = this.hosts[number % this.hosts.length];
    if (host === undefined) {
      throw new Error('the system has no host');
    }
    return host;
  }

  /** Returns a server that has neither crashed nor left, by its index; indexes wrap around. */
  getServer(number: number): SoakServer | undefined {
    return this.servers[number % Math.max(1, this.servers.length)];
  }

  /** Finds the first host that is an aggregator; the first host if none answers. */
  async findAggregator(): Promise<SoakHost> {
    for (const host of this.hosts) {
      if (await isAggregator(host.metrics)) {
        return host;
      }
    }
    return this.getHost(0);
  }

  /** Partitions a host from all servers, or ends that; it reaches everything else. */
  setPartitioned({options}: SoakHost, isPartitioned: boolean): void {
    if (!isPartitioned) {
      this.cutOff.delete(options.sourceAddress);
      return;
    }
    this.cutOff.add(options.sourceAddress);
    for (const {link} of this.allServers) {
      link.resetCutOff();
    }
  }

  /** Makes all servers state that they are brittle, or no longer. */
  setBrittle(isBrittle: boolean): void {
    this.isBrittle = isBrittle;
    for (const server of this.allServers) {
      server.faults.isBrittle = isBrittle;
    }
  }

  /** Makes all servers silent, or no longer. */
  setSilent(isSilent: boolean): void {
    this.isSilent = isSilent;
    for (const server of this.allServers) {
      server.setSilent(FaultKind.SERVERS_SILENT, isSilent);
    }
  }

  /** Makes all servers reject most requests, or no longer. */
  setRejecting(isRejecting: boolean): void {
    this.isRejecting = isRejecting;
    for (const server of this.allServers) {
      server.faults.rejectsMost = isRejecting;
    }
  }

  /** Kills a host's process; it is restarted after a delay. */
  async killHost(host: SoakHost, restartDelayMs: number): Promise<void> {
    await host.terminate('SIGKILL', restartDelayMs);
    this.inRotation.delete(host.options.name);
  }

  /** Stops a host as planned; it is restarted. */
  async stopHost(host: SoakHost): Promise<void> {
    await host.terminate('SIGTERM');
    this.inRotation.delete(host.options.name);
  }

  /** Crashes a server; it restarts under another name, or under its own. */
  async crashServer(server: SoakServer, keepsName = false): Promise<void> {
    if (!this.withdraw(server)) {
      return;
    }
    server.crash();
    if (keepsName) {
      await wait(SERVER_RESTART_MS);
      await this.startServer(server.name);
      return;
    }
    await wait(ENTRY_EXPIRY_MS);
    this.unregister(server.name);
    await wait(SERVER_RESTART_MS - ENTRY_EXPIRY_MS);
    await this.startReplacement(server);
  }

  /**
   * Makes a server leave as planned; another one replaces it.
   * @param server - The server.
   * @param isAnnounced - Whether it is marked as draining before its entry is removed.
   */
  async drainServer(server: SoakServer, isAnnounced = true): Promise<void> {
    if (!this.withdraw(server)) {
      return;
    }
    await this.startReplacement(server);
    if (isAnnounced) {
      server.faults.isLeaving = true;
      this.register(server, 'draining');
    } else {
      this.unregister(server.name);
    }
    const atMs = this.getNowMs();
    this.history.leavings.push({server: server.incarnation, atMs});
    await wait(ENTRY_REMOVAL_MS);
    if (isAnnounced) {
      this.unregister(server.name);
    }
    await wait(LEAVING_SERVER_STOP_MS - ENTRY_REMOVAL_MS);
    server.crash();
  }

  /**
   * Makes a server leave that states it in its answers only: its entry stays as it is, as
   * if the store had not accepted its report. Another server replaces it.
   */
  async drainUnrecordedServer(server: SoakServer): Promise<void> {
    if (!this.withdraw(server)) {
      return;
    }
    await this.startReplacement(server);
    server.faults.isLeaving = true;
    await wait(LEAVING_SERVER_STOP_MS);
    this.unregister(server.name);
    server.crash();
  }

  /**
   * Takes the store away for a moment, and restores it from a copy. The operator and the
   * servers then write again what is lost.
   * @param ageMs - Age of the copy, in milliseconds.
   */
  async restoreStore(ageMs: number): Promise<void> {
    const copy = this.store.takeCopy();
    await wait(ageMs);
    this.store.faults.unresponsive = true;
    await wait(STORE_ABSENCE_MS);
    this.store.restore(copy);
    this.store.faults.unresponsive = false;
    await wait(REWRITE_MS);
    for (const write of this.written.values()) {
      write();
    }
  }

  /** Adds a route and removes the one that was added before. */
  changeRoutes(): void {
    const removed = this.extraRoute;
    this.version += 2;
    this.extraRoute = `/v${this.version}/`;
    this.write('op', 'config', () => ({
      version: this.version,
      routes: [
        createRoute('/i/', {kind: 'idempotent'}),
        createRoute('/o/', {
          kind: 'non_idempotent',
          max_attempts: getMaxAttempts(RequestKind.ONCE),
        }),
        ...STREAM_ROUTES.map(createStreamRoute),
        createRoute(this.extraRoute, {kind: 'idempotent'}),
        ...Array.from({length: this.size.routes ?? 0}, (_unused, index) =>
          createRoute(`/unused-${index}/`, {kind: 'idempotent'}),
        ),
      ],
      services: [{name: SERVICE, max_connections: 500}],
      tenants: [
        {name: CUSTOMER, api_keys: [KEY]},
        {
          name: LOW_RATE_CUSTOMER,
          api_keys: [LOW_RATE_KEY],
          rate_per_s: this.history.bounds.rates.get(LOW_RATE_CUSTOMER)?.[0],
          burst: this.history.bounds.rates.get(LOW_RATE_CUSTOMER)?.[1],
        },
      ],
      limits: {idle_timeout_ms: 4000},
    }));
    this.history.changes.push({
      version: this.version,
      ackMs: this.getNowMs(),
      added: this.extraRoute,
      removed,
    });
  }

  /** Returns the paths of the two routes that changes added last. */
  listExtraRoutes(): string[] {
    return this.history.changes.slice(-2).map(({added}) => added);
  }

  /** Takes a server out of those that faults affect; returns whether it was one of them. */
  private withdraw(server: SoakServer): boolean {
    const index = this.servers.indexOf(server);
    if (index < 0) {
      return false;
    }
    this.servers.splice(index, 1);
    return true;
  }

  /** Starts a server of another name in place of one that has crashed or leaves. */
  private startReplacement({name}: SoakServer): Promise<void> {
    return this.startServer(
      `${name.split('.')[0]}.${++this.lastServerStartMs}`,
    );
  }

  private async startServer(name: string): Promise<void> {
    if (this.stopped) {
      return;
    }
    const startedMs = ++this.lastServerStartMs;
    const version = chooseVersion(name);
    const server: SoakServer = new SoakServer(name, startedMs, version, {
      history: this.history,
      getNowMs: () => this.getNowMs(),
      isCutOff: address => this.cutOff.has(address),
      onCrash: crashed => {
        this.history.endsMs.push(this.getNowMs());
        void this.crashServer(crashed);
      },
      onPartCrash: crashed => {
        this.history.partCrashesMs.push(this.getNowMs());
        void this.crashServer(crashed);
      },
    });
    server.faults.isBrittle = this.isBrittle;
    server.faults.rejectsMost = this.isRejecting;
    server.setSilent(FaultKind.SERVERS_SILENT, this.isSilent);
    this.allServers.add(server);
    const address = await server.listen();
    if (this.stopped) {
      server.crash();
      return;
    }
    this.register(server, 'ready', address);
    this.servers.push(server);
  }

  private register(
    {incarnation, name, startedMs, version}: SoakServer,
    state: string,
    address = this.addresses.get(incarnation) ?? '',
  ): void {
    this.addresses.set(incarnation, address);
    this.write('servers', name, () => ({
      service: SERVICE,
      address,
      zone: this.getDataCentre(Number(/\d+/.exec(name)?.[0] ?? 0)),
      version,
      slots: 16,
      state,
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
      born: startedMs,
    }));
  }

  /** Writes a row, and again after the store was restored. */
  private write(table: string, key: string, create: () => unknown): void {
    const put = () => this.store.put(table, key, create());
    this.written.set(key, put);
    put();
  }

  /** Removes the entry of a server, and again after the store was restored. */
  private unregister(name: string): void {
    const remove = () => this.store.remove('servers', name);
    this.written.set(name, remove);
    remove();
  }

  private getDataCentre(index: number): string {
    const isLargeRun = this.size.hosts >= LARGE_RUN_HOSTS;
    const dataCentres = isLargeRun ? LARGE_RUN_DATA_CENTRES : DATA_CENTRES;
    return dataCentres[index % dataCentres.length] ?? '';
  }

  private recordDutyCall(
    headers: Readonly<Record<string, unknown>>,
    text: string,
  ): void {
    const body = JSON.parse(text) as {
      readonly window_number: number;
      readonly counts: Readonly<Record<string, number>>;
    };
    this.history.duties.push({
      atMs: this.getNowMs(),
      holder: String(headers['duty-holder']),
      fence: Number(headers['fencing-token']),
      window: body.window_number,
      counts: JSON.stringify(Object.entries(body.counts).sort()),
    });
  }

  /** Polls the readiness of every host; two failed checks in a row take it out of rotation. */
  private async runHealthChecks(): Promise<void> {
    const failedChecks = new Map<string, number>();
    while (!this.stopped) {
      await Promise.all(
        this.hosts.map(async ({options: {name}, ready}) => {
          const isReady = await isHostReady(ready);
          failedChecks.set(
            name,
            isReady ? 0 : (failedChecks.get(name) ?? 0) + 1,
          );
          if (isReady) {
            this.inRotation.add(name);
          } else if ((failedChecks.get(name) ?? 0) > 1) {
            this.inRotation.delete(name);
          }
        }),
      );
      await wait(READY_POLL_MS);
    }
  }
}

/** Resolves after a number of milliseconds. */
export function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function isHostReady(address: string): Promise<boolean> {
  try {
    const answer = await fetch(`http://${address}/readiness`, {
      signal: AbortSignal.timeout(1000),
    });
    await answer.text();
    return answer.status === 200;
  } catch {
    return false;
  }
}

/** Asks a host whether it is an aggregator; returns false if it does not answer. */
async function isAggregator(address: string): Promise<boolean> {
  try {
    const answer = await fetch(`http://${address}/state`, {
      signal: AbortSignal.timeout(100),
    });
    const state = (await answer.json()) as {readonly sums_up?: boolean};
    return state.sums_up === true;
  } catch {
    return false;
  }
}

function createRoute(
  prefix: string,
  overrides: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  return {
    name: `r${prefix}`,
    host: HOST_NAME,
    prefix,
    timeout_ms: ROUTE_TIMEOUT_MS,
    target_latency_ms: 300,
    gap_target_ms: 300,
    service: SERVICE,
    max_attempts: getMaxAttempts(RequestKind.REPEATABLE),
    ...overrides,
  };
}

function createStreamRoute({
  prefix,
  kind,
  timeoutMs,
}: StreamRoute): Readonly<Record<string, unknown>> {
  const isResumable = kind === RequestKind.STREAM;
  return createRoute(prefix, {
    kind: 'streaming',
    timeout_ms: timeoutMs,
    resumable: isResumable,
    max_attempts: getMaxAttempts(kind),
  });
}

/**
 * Returns the version of a server's software. A server that starts again has the same one; two
 * versions serve side by side.
 */
function chooseVersion(name: string): string {
  const number = Number(/^i-(\d+)/.exec(name)?.[1] ?? 0);
  return number % VERSION_COUNT === 0 ? 'v1' : 'v2';
}
