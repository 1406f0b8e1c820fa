import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {findFreePorts} from '../../src/trial/index.js';
import {Bounds} from './history.js';
import {Link} from './link.js';

/** Where a host finds what it needs. */
export interface SoakHostOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Folder for its settings file. */
  readonly folder: string;
  readonly bounds: Bounds;
  /** Returns the ports of store and cloud. */
  readonly getStorePort: () => number;
  readonly cloudAddress: string;
}

const MS_PER_SECOND = 1000;
/** Time after which a process that ended is started again, in milliseconds. */
const RESTART_MS = 100;
/** As the bundled daemon is started. */
const PROGRAM = [
  '--require',
  './scripts/early_signals.cjs',
  'dist/platform/sedgefalld.js',
];
const SERVER_LEAVING =
  /^time=(\S+) .*event=server_state .*server=(\S+) .*state=(?:draining|gone)/;
const ENDED = /event=(relayed|refused) .*?request=(\S+)/;
/** Lines kept of one host for a run that fails. */
const MAX_LINES = 200_000;

/** One real daemon, as a process of its own, with its link to the store. */
export class SoakHost {
  readonly storeLink: Link;
  readonly lines: string[] = [];
  /** Ids whose end it logged. */
  readonly logged = new Set<string>();
  /** Servers it logged as draining or gone, with the wall-clock time of the line. */
  readonly observedLeavings: {readonly server: string; readonly at: Date}[] =
    [];
  /** Ends of its process that nobody asked for. */
  readonly ownExits: string[] = [];
  /** Starts so far. */
  starts = 0;
  callers = '';
  ready = '';
  metrics = '';
  private settingsPath = '';
  private ports: number[] = [];
  private storeAddress = '';
  private child: ChildProcess | undefined;
  /** Whether the end of its process was asked for. */
  private isAsked = false;
  private stopped = false;
  private downMs = RESTART_MS;
  private reloads = 0;

  constructor(readonly options: SoakHostOptions) {
    this.storeLink = new Link(options.getStorePort);
  }

  /** Prepares its addresses. */
  async prepare(): Promise<void> {
    const {folder, name} = this.options;
    this.storeAddress = await this.storeLink.listen();
    this.ports = await findFreePorts(5);
    this.settingsPath = join(folder, `${name}.toml`);
    const [front, ready, , , last] = this.ports;
    this.callers = `127.0.0.1:${front}`;
    this.ready = `127.0.0.1:${ready}`;
    this.metrics = `127.0.0.1:${last}`;
    await this.writeSettings();
  }

  /** Starts the process; one that ends is started again after a while. */
  start(): void {
    this.starts++;
    this.isAsked = false;
    const child = spawn(process.execPath, PROGRAM, {
      env: {PATH: process.env['PATH'], SEDGEFALL_BOOT: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    // Ended by its id also where the soak itself is interrupted.
    const endWithSoak = () => child.kill('SIGKILL');
    // Avoids the listener leak warning: each running host adds an exit listener.
    process.setMaxListeners(0);
    process.once('exit', endWithSoak);
    child.once('exit', () => process.off('exit', endWithSoak));
    child.once('exit', code => {
      if (!this.isAsked) {
        this.ownExits.push(`code ${code}: ${this.lines.slice(-2).join(' / ')}`);
      }
      setTimeout(() => {
        this.downMs = RESTART_MS;
        if (!this.stopped) {
          this.start();
        }
      }, this.downMs);
    });
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({input: stream}).on('line', line => this.note(line));
    }
  }

  /** Tells whether its process runs. */
  isRunning(): boolean {
    const {child} = this;
    return (
      child !== undefined &&
      child.exitCode === null &&
      child.signalCode === null
    );
  }

  /** Sends a signal to its process, if it runs. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) {
      this.child?.kill(signal);
    }
  }

  /**
   * Ends its process; it starts again.
   * @param signal - How it is asked to end.
   * @param downMs - Time until it starts again.
   */
  async end(signal: NodeJS.Signals, downMs = RESTART_MS): Promise<void> {
    const {child} = this;
    if (child === undefined || !this.isRunning()) {
      return;
    }
    this.isAsked = true;
    this.downMs = downMs;
    // One that stands still would end only when it goes on.
    child.kill('SIGCONT');
    child.kill(signal);
    await once(child, 'exit');
  }

  /** Changes a setting and says so. */
  async reload(): Promise<void> {
    this.reloads++;
    await this.writeSettings();
    this.signal('SIGHUP');
  }

  /** Ends its process and its link. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.end('SIGKILL');
    this.storeLink.stop();
  }

  private note(line: string): void {
    if (this.lines.length < MAX_LINES) {
      this.lines.push(line);
    }
    const leaving = SERVER_LEAVING.exec(line);
    if (leaving !== null) {
      this.observedLeavings.push({
        server: leaving[2] ?? '',
        at: new Date(leaving[1] ?? ''),
      });
    }
    const id = ENDED.exec(line)?.[2];
    if (id !== undefined) {
      this.logged.add(id);
    }
  }

  private writeSettings(): Promise<void> {
    const {name, dataCentre, bounds, cloudAddress} = this.options;
    const [front, ready, control, first, last] = this.ports;
    return writeFile(
      this.settingsPath,
      `
node = "${name}"
ip = "127.0.0.1"
zone = "${dataCentre}"
internal_ports = [${first}, ${last}]
seeds = []
[listen]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[bounds]
drain_ms = ${bounds.drainMs}
config_apply_ms = ${bounds.applyMs}
grace_s = ${bounds.graceMs / MS_PER_SECOND}
lease_ms = 1500
usage_window_s = 2
usage_late_s = ${10 + this.reloads}
retry_budget_ratio = ${bounds.retryRatio}
retry_slack = ${bounds.retrySlack}
budget_window_s = ${bounds.retryWindowMs / MS_PER_SECOND}
quota_window_s = ${bounds.quotaWindowMs / MS_PER_SECOND}
quota_overage = ${bounds.quotaOverage}
quota_slack = ${bounds.quotaSlack}
[platform]
address = "${this.storeAddress}"
[cloud]
address = "${cloudAddress}"
duties = ["usage"]
`,
    );
  }
}
