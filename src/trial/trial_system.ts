import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {got} from 'got';
import {hashKey} from '../caller/index.js';
import {TrialProcess} from './trial_process.js';
import {findFreePorts} from './find_free_ports.js';

/** Operator key of every trial system. */
export const OPERATOR_KEY = 'trial-operator-key';
const PEER_KEY = 'trial-shared-peer-key';

/** A backend server of a trial. */
export interface TrialServer {
  readonly name: string;
  readonly dataCentre: string;
  readonly kind: 'engine' | 'service';
  /** Name of the plain service; empty for an engine. */
  readonly service: string;
  /** Additional arguments of the fake backend server. */
  readonly args: readonly string[];
}

/** An entry host of a trial. */
export interface TrialHost {
  readonly name: string;
  readonly dataCentre: string;
}

/** Hosts, servers and settings of a trial system. */
export interface TrialPlan {
  readonly hosts: readonly TrialHost[];
  readonly servers: readonly TrialServer[];
  /** Lines that are added to the TOML settings of every host, by table. */
  readonly settings?: Readonly<Record<string, readonly string[]>>;
}

/** A started entry host with its addresses. */
export interface RunningHost {
  readonly plan: TrialHost;
  readonly callersUrl: string;
  readonly operatorsUrl: string;
  readonly peerAddress: string;
  readonly settingsFile: string;
  process: TrialProcess;
}

/** A started backend server with its address. */
export interface RunningServer {
  readonly plan: TrialServer;
  readonly address: string;
  readonly url: string;
  process: TrialProcess;
}

const PORTS_PER_HOST = 3;

/** Runs a complete small system as separate processes on loopback. */
export class TrialSystem {
  readonly hosts: RunningHost[] = [];
  readonly servers: RunningServer[] = [];
  platformUrl = '';
  private platform: TrialProcess | undefined;
  private folder = '';

  constructor(private readonly plan: TrialPlan) {}

  /** Starts every process and waits until all are ready. */
  async start(): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'sedgefall-trial-'));
    const {hosts, servers} = this.plan;
    const count = 1 + servers.length + hosts.length * PORTS_PER_HOST;
    const ports = await findFreePorts(count);
    const next = () => ports.shift() ?? 0;
    await this.startPlatform(next());
    for (const server of servers) {
      this.startServer(server, next());
    }
    for (const host of hosts) {
      await this.startHost(host, [next(), next(), next()]);
    }
    await this.publishHosts();
    await Promise.all(this.servers.map(run => run.process.waitForReady()));
    await Promise.all(this.hosts.map(run => run.process.waitForReady()));
  }

  /** Kills every process and removes the settings files. */
  async stop(): Promise<void> {
    const processes = [
      ...this.hosts.map(run => run.process),
      ...this.servers.map(run => run.process),
    ];
    await Promise.all(processes.map(process => process.terminate('SIGKILL')));
    await this.platform?.terminate('SIGKILL');
    await rm(this.folder, {recursive: true, force: true});
  }

  /** Starts a new process for an entry host, with the same settings; returns when it is ready. */
  async restartHost(host: RunningHost): Promise<void> {
    host.process = startDaemon(host.plan.name, host.settingsFile);
    await host.process.waitForReady();
  }

  /** Returns the configuration records of the backend servers. */
  listServerRecords(): Record<string, unknown>[] {
    return this.servers.map(run => ({
      schemaVersion: 2,
      kind: 'server',
      name: run.plan.name,
      runs: run.plan.kind,
      dataCentre: run.plan.dataCentre,
      zone: `${run.plan.dataCentre}-a`,
      machineClass: 'standard',
      address: run.address,
      service: run.plan.service,
    }));
  }

  /** Creates a record through the first entry host; returns the response body. */
  async apply(record: Record<string, unknown>): Promise<unknown> {
    const host = this.hosts[0];
    const {kind, name} = record;
    const url = `${host?.operatorsUrl}/admin/v1/records/${String(kind)}s/${String(name)}`;
    return got
      .put(url, {
        json: record,
        headers: {
          authorization: `Bearer ${OPERATOR_KEY}`,
          'if-none-match': '*',
        },
        retry: {limit: 0},
      })
      .json();
  }

  /** Publishes a notice that the platform reclaims a host after `noticeMs` milliseconds. */
  async publishNotice(host: string, noticeMs: number): Promise<void> {
    await got.post(`${this.platformUrl}/platform/notices`, {
      json: {host, noticeMs},
    });
  }

  /** Sets the faults of the fake platform; omitted ones are reset. */
  async setPlatformFaults(faults: Record<string, unknown>): Promise<void> {
    await got.put(`${this.platformUrl}/faults`, {json: faults});
  }

  /** Sets the faults of a fake backend server; omitted ones are reset. */
  async setServerFaults(
    server: RunningServer,
    faults: Record<string, unknown>,
  ): Promise<void> {
    await got.put(`${server.url}/faults`, {json: faults});
  }

  private async startPlatform(port: number): Promise<void> {
    const args = ['--port', String(port)];
    this.platform = new TrialProcess('platform', 'fake_platform', args);
    this.platformUrl = `http://127.0.0.1:${port}`;
    await this.platform.waitForReady();
  }

  private startServer(plan: TrialServer, port: number): void {
    const args = ['--port', String(port), '--name', plan.name];
    args.push('--kind', plan.kind, ...plan.args);
    this.servers.push({
      plan,
      address: `127.0.0.1:${port}`,
      url: `http://127.0.0.1:${port}`,
      process: new TrialProcess(plan.name, 'fake_backend', args),
    });
  }

  private async startHost(
    plan: TrialHost,
    ports: readonly number[],
  ): Promise<void> {
    const [callers = 0, operators = 0, peers = 0] = ports;
    const settingsFile = join(this.folder, `${plan.name}.toml`);
    await writeFile(settingsFile, this.formatSettings(plan, ports));
    this.hosts.push({
      plan,
      callersUrl: `http://127.0.0.1:${callers}`,
      operatorsUrl: `http://127.0.0.1:${operators}`,
      peerAddress: `127.0.0.1:${peers}`,
      settingsFile,
      process: startDaemon(plan.name, settingsFile),
    });
  }

  private formatSettings(plan: TrialHost, ports: readonly number[]): string {
    const [callers, operators, peers] = ports;
    const tables: Record<string, string[]> = {
      host: [`name = "${plan.name}"`, `data_centre = "${plan.dataCentre}"`],
      callers: [`address = "127.0.0.1:${callers}"`],
      operators: [
        `address = "127.0.0.1:${operators}"`,
        `key_hashes = ["${hashKey(OPERATOR_KEY)}"]`,
      ],
      peers: [`address = "127.0.0.1:${peers}"`, `key = "${PEER_KEY}"`],
      platform: [
        `table_url = "${this.platformUrl}/table"`,
        `hosts_url = "${this.platformUrl}/platform"`,
      ],
    };
    for (const [table, lines] of Object.entries(this.plan.settings ?? {})) {
      tables[table] = [...(tables[table] ?? []), ...lines];
    }
    return Object.entries(tables)
      .map(([table, lines]) => `[${table}]\n${lines.join('\n')}\n`)
      .join('\n');
  }

  /** Writes all hosts and servers to the platform's host list. */
  private async publishHosts(): Promise<void> {
    const common = {zone: 'a', machineClass: 'standard', state: 'live'};
    const entries = this.hosts.map(run => ({
      ...common,
      name: run.plan.name,
      role: 'entry',
      dataCentre: run.plan.dataCentre,
      address: run.peerAddress,
    }));
    const backends = this.servers.map(run => ({
      ...common,
      name: run.plan.name,
      role: 'backend',
      dataCentre: run.plan.dataCentre,
      address: run.address,
    }));
    await got.put(`${this.platformUrl}/platform/hosts`, {
      json: [...entries, ...backends],
    });
  }
}

function startDaemon(name: string, settingsFile: string): TrialProcess {
  return new TrialProcess(name, 'sedgefalld', ['--settings', settingsFile]);
}
