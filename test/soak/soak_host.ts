import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {findFreePorts} from '../../src/trial/index.js';
import {Bounds} from './history.js';
import {Link} from './link.js';

/** Identity of a host, and the addresses and bounds for its settings. */
export interface SoakHostOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Folder for its settings file. */
  readonly folder: string;
  readonly bounds: Bounds;
  /** Returns the port of the store. */
  readonly getStorePort: () => number;
  readonly cloudAddress: string;
  /** Loopback address from which it opens connections, different for each host. */
  readonly sourceAddress: string;
}

const MS_PER_SECOND = 1000;
/** Time after which a process that exited is restarted, in milliseconds. */
const RESTART_MS = 100;
/** Node arguments, as for the bundled daemon. */
const PROGRAM = [
  '--require',
  './scripts/early_signals.cjs',
  '--require',
  './test/soak/source_address.cjs',
  'dist/platform/sedgefalld.js',
];
const SERVER_LEAVING_LINE =
  /^time=(\S+) .*event=server_state .*server=(\S+) .*state=(?:draining|gone)/;
const OUTCOME_LINE = /event=(relayed|refused) .*?request=(\S+)/;
/** Number of lines of a process that are kept for the report of its exit. */
const MAX_EXIT_LINES = 3;
/** Maximum number of log lines kept per host, to be saved if the run fails. */
const MAX_LINES = 200_000;

/** The exit of a process, with the last lines that it printed. */
interface ProcessExit {
  readonly incarnation: number;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly ownLines: readonly string[];
}

/** A real daemon in its own process, with its link to the store. */
export class SoakHost {
  readonly storeLink: Link;
  readonly logLines: string[] = [];
  /** Ids of the requests whose outcome it logged. */
  readonly logged = new Set<string>();
  /** Servers it logged as draining or gone, with the wall-clock time of the line. */
  readonly loggedLeavings: {readonly server: string; readonly at: Date}[] = [];
  /** Exits of its process that were not requested. */
  readonly unexpectedExits: string[] = [];
  /** Exits by a reload signal before the process ran any script. */
  exitsBeforeScript = 0;
  /** Number of starts so far, which identifies the current process. */
  incarnation = 0;
  /** Addresses for callers, readiness checks and metrics. */
  callers = '';
  ready = '';
  metrics = '';
  private settingsPath = '';
  private ports: number[] = [];
  private storeAddress = '';
  private child: ChildProcess | undefined;
  /** Whether the exit of its process was requested. */
  private isExitExpected = false;
  private stopped = false;
  private restartDelayMs = RESTART_MS;
  private reloads = 0;

  constructor(readonly options: SoakHostOptions) {
    this.storeLink = new Link(options.getStorePort);
  }

  /** Allocates its addresses and writes its settings. */
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

  /** Starts the process; if it exits, it is restarted after a delay. */
  start(): void {
    this.incarnation++;
    this.isExitExpected = false;
    const child = spawn(process.execPath, PROGRAM, {
      env: {
        PATH: process.env['PATH'],
        SEDGEFALL_BOOT: this.settingsPath,
        SOAK_SOURCE_ADDRESS: this.options.sourceAddress,
        // Features under test, such as those that are off in a small fleet.
        SEDGEFALL_FEATURES: process.env['SEDGEFALL_FEATURES'] ?? '',
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    // Kills the process by its id also if the soak itself is interrupted.
    const killChild = () => child.kill('SIGKILL');
    // Avoids the listener leak warning: each running host adds an exit listener.
    process.setMaxListeners(0);
    process.once('exit', killChild);
    child.once('exit', () => process.off('exit', killChild));
    const {incarnation} = this;
    const ownLines: string[] = [];
    child.once('exit', (code, signal) => {
      if (!this.isExitExpected) {
        // Its last lines may arrive after its exit.
        child.once('close', () =>
          this.recordUnexpectedExit({incarnation, code, signal, ownLines}),
        );
      }
      setTimeout(() => {
        this.restartDelayMs = RESTART_MS;
        if (!this.stopped) {
          void this.writeSettings().then(() => this.start());
        }
      }, this.restartDelayMs);
    });
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({input: stream}).on('line', line => {
        ownLines.push(line);
        ownLines.splice(0, ownLines.length - MAX_EXIT_LINES);
        this.recordLine(line);
      });
    }
  }

  /** Returns whether its process is running. */
  isRunning(): boolean {
    const {child} = this;
    return (
      child !== undefined &&
      child.exitCode === null &&
      child.signalCode === null
    );
  }

  /** Sends a signal to its process, if it is running. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) {
      this.child?.kill(signal);
    }
  }

  /**
   * Terminates its process; it is restarted.
   * @param signal - Signal to send.
   * @param restartDelayMs - Time until the restart, in milliseconds.
   */
  async terminate(
    signal: NodeJS.Signals,
    restartDelayMs = RESTART_MS,
  ): Promise<void> {
    const {child} = this;
    if (child === undefined || !this.isRunning()) {
      return;
    }
    this.isExitExpected = true;
    this.restartDelayMs = restartDelayMs;
    // A frozen process would exit only once it is resumed.
    child.kill('SIGCONT');
    child.kill(signal);
    await once(child, 'exit');
  }

  /** Changes a setting and signals the process to reload. */
  async reload(): Promise<void> {
    this.reloads++;
    await this.writeSettings();
    this.signal('SIGHUP');
  }

  /** Terminates its process and stops its link. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.terminate('SIGKILL');
    this.storeLink.stop();
  }

  /**
   * Records an exit that was not requested. A SIGHUP that arrives before the process runs
   * any script ends it, whatever the script does: Node.js sets the default disposition
   * of every signal when it starts. `source_address.cjs` is loaded after the handler of
   * that signal, so a process that has printed its first line has one.
   */
  private recordUnexpectedExit({
    incarnation,
    code,
    signal,
    ownLines,
  }: ProcessExit): void {
    if (signal === 'SIGHUP' && ownLines.length === 0) {
      this.exitsBeforeScript++;
      return;
    }
    this.unexpectedExits.push(
      `incarnation ${incarnation} code ${code} signal ${signal}: ${ownLines.join(' / ')}`,
    );
  }

  private recordLine(line: string): void {
    if (this.logLines.length < MAX_LINES) {
      this.logLines.push(line);
    }
    const leaving = SERVER_LEAVING_LINE.exec(line);
    if (leaving !== null) {
      this.loggedLeavings.push({
        server: leaving[2] ?? '',
        at: new Date(leaving[1] ?? ''),
      });
    }
    const id = OUTCOME_LINE.exec(line)?.[2];
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
bootstrap = ${this.incarnation === 0}
contracts = ["base", "stream"]
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
