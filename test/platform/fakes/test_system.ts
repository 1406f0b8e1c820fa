import {request as openRequest} from 'node:http';
import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {SilentLog} from '../../../src/log/index.js';
import {RelayHost} from '../../../src/relay_host/index.js';
import {SystemClock} from '../../../src/time/index.js';
import {findFreePorts} from '../../../src/trial/index.js';
import {createRelayHost, DaemonOptions} from '../../../platform/container.js';
import {parsePlatformSettings} from '../../../platform/settings.js';
import {SettingsSource} from '../../../platform/settings_source.js';
import {answerWith, Script, FakeServer} from './fake_server.js';
import {FakeStore} from './fake_store.js';
import {HostLimits, HostProcess} from './host_process.js';

/** A response as a caller received it. */
export interface CallerView {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  /** Whether the response is complete. */
  readonly whole: boolean;
}

/** A call that the fake cloud received. */
export interface CloudCall {
  readonly path: string;
  readonly body: Readonly<Record<string, unknown>>;
  readonly fence: number;
  readonly holder: string;
}

/** A host of the system under test. */
export interface RunningHost {
  readonly host: RelayHost;
  readonly callers: string;
  readonly ready: string;
  readonly metrics: string;
  /** Address for other hosts. */
  readonly peers: string;
}

/** Creates the script of a server. */
export type CreateScript = (server: FakeServer, index: number) => Script;

export const KEY = 'k1';
const WAIT_STEP_MS = 10;
/**
 * Retries that a request earns in tests in which more requests fail than a budget is meant
 * for, or fail at hosts that have just started and earned none.
 */
export const AMPLE_RETRY_RATIO = 100;

/** A fake store, a fake cloud, two or more fake servers, and hosts, all on loopback. */
export class TestSystem {
  readonly store = new FakeStore();
  readonly servers = [
    new FakeServer(answerWith('whole')),
    new FakeServer(answerWith('whole')),
  ];
  /** Address of each server. */
  readonly addresses: string[] = [];
  /** Requests that each server states to run concurrently. */
  slots = 6;
  /** Retries that each request earns. */
  retryRatio = 0.2;
  /** Parts of the rules in force; absent if the settings of the hosts do not list them. */
  contracts: readonly string[] | undefined;
  /** Whether the hosts are told that the whole system starts for the first time. */
  bootstrap = false;
  readonly cloudCalls: CloudCall[] = [];
  readonly hosts: RunningHost[] = [];
  private readonly processes: HostProcess[] = [];
  private readonly cloud: Server;
  /** How often each server has started again, by its index. */
  private readonly starts = new Map<number, number>();
  private storeAddress = '';
  private cloudAddress = '';
  private configVersion = 0;
  private sent = 0;
  private sequence = 0;

  constructor() {
    this.cloud = createServer((request, response) => {
      let text = '';
      request.on('data', piece => (text += String(piece)));
      request.on('end', () => {
        const fence = Number(request.headers['fencing-token']);
        const body = JSON.parse(text) as CloudCall['body'];
        const holder = String(request.headers['duty-holder']);
        this.cloudCalls.push({path: request.url ?? '', body, fence, holder});
        response.end('{}');
      });
    });
  }

  /** Starts everything except the hosts, with a first configuration. */
  async start(): Promise<void> {
    this.storeAddress = await this.store.listen();
    await new Promise<void>(resolve => {
      this.cloud.listen(0, '127.0.0.1', resolve);
    });
    this.cloudAddress = `127.0.0.1:${(this.cloud.address() as AddressInfo).port}`;
    for (const [index, server] of this.servers.entries()) {
      const address = await server.listen();
      this.addresses.push(address);
      await this.register(`i-${index}`, address, 'ready');
    }
    this.putConfig({});
  }

  /** Registers a server in the store, as servers do themselves. */
  async register(
    id: string,
    address: string,
    state: string,
    version = 'v1',
    service = 'ledger',
  ): Promise<void> {
    this.store.put('servers', id, {
      service,
      address,
      zone: 'here',
      version,
      slots: this.slots,
      state,
      cold_remaining_ms: 0,
      sequence: ++this.sequence,
    });
  }

  /**
   * Crashes a server, removes its entry, and starts it again later under a new id, as each start
   * of a server has one.
   * @param delayMs - Time until it is back, in milliseconds.
   */
  crashServer(index: number, delayMs: number): void {
    const server = this.servers[index];
    const starts = this.starts.get(index) ?? 0;
    this.starts.set(index, starts + 1);
    server?.stop();
    const id = starts === 0 ? `i-${index}` : `i-${index}-${starts}`;
    this.store.remove('servers', id);
    setTimeout(async () => {
      const address = (await server?.listen()) ?? '';
      await this.register(`i-${index}-${starts + 1}`, address, 'ready');
    }, delayMs);
  }

  /** Puts the next configuration into the store; returns its version. */
  putConfig(overrides: Readonly<Record<string, unknown>>): number {
    this.configVersion += 2;
    this.store.put('op', 'config', {
      version: this.configVersion,
      routes: [
        this.createRoute('/a/', {}),
        this.createRoute('/s/', {kind: 'streaming'}),
      ],
      services: [{name: 'ledger', max_connections: 100}],
      tenants: [{name: 'guild', api_keys: [KEY]}],
      limits: {header_bytes: 4096, body_bytes: 1000, idle_timeout_ms: 5000},
      ...overrides,
    });
    return this.configVersion;
  }

  /** Creates a route to the service `ledger`. */
  createRoute(
    prefix: string,
    overrides: Readonly<Record<string, unknown>>,
  ): Readonly<Record<string, unknown>> {
    return {
      name: `r${prefix}`,
      host: 'desk.example',
      prefix,
      kind: 'idempotent',
      timeout_ms: 2000,
      target_latency_ms: 300,
      service: 'ledger',
      max_attempts: 2,
      ...overrides,
    };
  }

  /** Starts a host; it may not be ready yet. */
  async startHost(
    name: string,
    seeds: readonly string[] = [],
    moreSettings = '',
    daemonOptions: Partial<
      Pick<DaemonOptions, 'featureModes' | 'log' | 'openConnection'>
    > = {},
  ): Promise<RunningHost> {
    const text = await this.formatSettings(name, seeds, moreSettings);
    const settings = parsePlatformSettings(text).unwrapOrElse(error => {
      throw new Error(error);
    });
    const clock = new SystemClock();
    const log = new SilentLog();
    const host = createRelayHost({
      clock,
      log,
      source: new SettingsSource('/nonexistent', settings, clock, log),
      incarnation: `${name}-1`,
      ...daemonOptions,
    });
    await host.start();
    const running = {
      host,
      callers: settings.callersAddress,
      ready: settings.readyAddress,
      peers: settings.peersAddress,
      metrics: settings.metricsAddress,
    };
    this.hosts.push(running);
    return running;
  }

  /**
   * Starts a host as a process of its own, with the arguments of Node.js that the deploy file
   * states, and waits until it is ready.
   * @param name - Name of the host.
   * @param limits - Limits of its machine.
   */
  async startProcess(name: string, limits: HostLimits): Promise<HostProcess> {
    const text = await this.formatSettings(
      name,
      [],
      `[limits]
memory_mb = ${limits.memoryMb}
file_descriptors = ${limits.descriptors}`,
    );
    const settings = parsePlatformSettings(text).unwrapOrElse(error => {
      throw new Error(error);
    });
    const host = await HostProcess.start(text, limits);
    this.processes.push(host);
    await this.waitFor(async () => {
      host.throwIfEnded();
      const answer = await this.get(settings.readyAddress, '/readiness').catch(
        () => undefined,
      );
      return answer?.status === 200;
    });
    return host;
  }

  private async formatSettings(
    name: string,
    seeds: readonly string[],
    moreSettings: string,
  ): Promise<string> {
    const [front, ready, control, first, last] = await findFreePorts(5);
    return `
node = "${name}"
ip = "127.0.0.1"
zone = "here"
internal_ports = [${first}, ${last}]
seeds = ${JSON.stringify(seeds)}
bootstrap = ${this.bootstrap}
${this.contracts === undefined ? '' : `contracts = ${JSON.stringify(this.contracts)}`}
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[bounds]
drain_ms = 2000
grace_s = 1.5
lease_ms = 600
usage_window_s = 1
usage_late_s = 10
retry_budget_ratio = ${this.retryRatio}
retry_slack = 54
exposure_share = 0.8
exposure_slack = 50
[platform]
address = "${this.storeAddress}"
[cloud]
address = "${this.cloudAddress}"
duties = ["usage"]
${moreSettings}
`;
  }

  /** Starts hosts and waits until all are ready. */
  async startHosts(names: readonly string[]): Promise<RunningHost[]> {
    const started: RunningHost[] = [];
    for (const name of names) {
      started.push(await this.startHost(name));
    }
    for (const host of started) {
      await this.waitFor(() => this.isReady(host));
    }
    return started;
  }

  /** Adds servers up to a number in total, and sets the script of each. */
  addServers(count: number, createScript: CreateScript): void {
    while (this.servers.length < count) {
      this.servers.push(new FakeServer(answerWith('whole')));
    }
    for (const [index, server] of this.servers.entries()) {
      server.script = createScript(server, index);
    }
  }

  /** Waits until a condition holds. */
  async waitFor(holds: () => boolean | Promise<boolean>): Promise<void> {
    while (!(await holds())) {
      await new Promise(resolve => setTimeout(resolve, WAIT_STEP_MS));
    }
  }

  /** Returns whether a host reports that it is ready. */
  async isReady(running: RunningHost): Promise<boolean> {
    const {status} = await this.get(running.ready, '/readiness');
    return status === 200;
  }

  /** Sends a request to a host as a caller does. */
  call(
    running: RunningHost,
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body?: string,
  ): Promise<CallerView> {
    return this.get(
      running.callers,
      path,
      {
        Host: 'desk.example',
        'Request-Id': `r${++this.sent}`,
        Credential: KEY,
        'Deadline-Remaining': '2000',
        ...headers,
      },
      body,
    );
  }

  async stop(): Promise<void> {
    await Promise.all(this.hosts.map(({host}) => host.stop()));
    await Promise.all(this.processes.map(host => host.stop()));
    this.store.stop();
    this.cloud.close();
    this.cloud.closeAllConnections();
    for (const server of this.servers) {
      server.stop();
    }
  }

  get(
    address: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body?: string,
  ): Promise<CallerView> {
    const [host, port] = address.split(':');
    return new Promise((resolve, reject) => {
      const request = openRequest(
        {
          host,
          port,
          path,
          headers,
          method: body === undefined ? 'GET' : 'POST',
        },
        response => {
          let text = '';
          response.on('data', piece => (text += String(piece)));
          response.on('error', () => undefined);
          response.on('close', () =>
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: text,
              whole: response.complete,
            }),
          );
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }
}
