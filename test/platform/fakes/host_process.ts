import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {parsePlatformSettings} from '../../../platform/settings.js';

/** Limits of the machine of a host, as its settings state them. */
export interface HostLimits {
  readonly memoryMb: number;
  readonly descriptors: number;
}

const BYTES_PER_KIB = 1024;
const BYTES_PER_MIB = 1_048_576;
/** Number of lines of the process that are kept for the report of its end. */
const MAX_LINES = 40;
const PROGRAM = 'dist/platform/sedgefalld.js';

/** Returns the arguments of Node.js with which hosts are deployed. */
function readNodeArguments(): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const command = /^run = "node (.*)"$/m.exec(text)?.[1] ?? '';
  return command.split(' ').filter(argument => argument.startsWith('--'));
}

/** A host of the platform in a process of its own, and what it takes of its machine. */
export class HostProcess {
  private lines: string[] = [];

  private constructor(
    private readonly child: ChildProcess,
    private readonly folder: string,
    readonly limits: HostLimits,
    /** Address for callers. */
    readonly callers: string,
    readonly metrics: string,
  ) {
    for (const stream of [child.stdout, child.stderr]) {
      stream?.on('data', text => this.addOutput(String(text)));
    }
  }

  /**
   * Starts a process.
   * @param text - Its settings.
   * @param limits - Limits of its machine. That of descriptors holds for the process.
   */
  static async start(text: string, limits: HostLimits): Promise<HostProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'sedgefall-'));
    const path = join(folder, 'settings.toml');
    await writeFile(path, text);
    const settings = parsePlatformSettings(text).unwrapOrElse(error => {
      throw new Error(error);
    });
    const command = `ulimit -n ${limits.descriptors} && exec "$0" "$@"`;
    const child = spawn(
      'sh',
      ['-c', command, process.execPath, ...readNodeArguments(), PROGRAM],
      {
        env: {PATH: process.env['PATH'], SEDGEFALL_BOOT: path},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const killChild = () => child.kill('SIGKILL');
    process.once('exit', killChild);
    child.once('exit', () => process.off('exit', killChild));
    const {callersAddress, metricsAddress} = settings;
    return new HostProcess(
      child,
      folder,
      limits,
      callersAddress,
      metricsAddress,
    );
  }

  /** @throws Error - If the process has ended; with its last lines. */
  throwIfEnded(): void {
    const {exitCode, signalCode} = this.child;
    if (exitCode !== null || signalCode !== null) {
      throw new Error(
        `the host ended with code ${exitCode}, signal ${signalCode}:\n${this.lines.join('\n')}`,
      );
    }
  }

  /** Returns its largest resident size so far, in bytes. */
  readPeakBytes(): number {
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * BYTES_PER_KIB;
  }

  /** Returns its number of open descriptors. */
  countDescriptors(): number {
    return readdirSync(`/proc/${this.child.pid}/fd`).length;
  }

  /** Returns the bytes of callers that wait in the system until the process reads them. */
  countUnreadBytes(): number {
    const port = Number(this.callers.split(':')[1]);
    const local = port.toString(16).toUpperCase().padStart(4, '0');
    let bytes = 0;
    for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
      const [, address = '', , , queues = ''] = line.trim().split(/\s+/);
      if (address.endsWith(`:${local}`)) {
        bytes += Number.parseInt(queues.split(':')[1] ?? '0', 16);
      }
    }
    return bytes;
  }

  /** Returns the memory of its machine, in bytes. */
  getMemoryBytes(): number {
    return this.limits.memoryMb * BYTES_PER_MIB;
  }

  /** Ends the process. */
  async stop(): Promise<void> {
    const {child} = this;
    if (child.exitCode === null && child.signalCode === null) {
      child.kill('SIGKILL');
      await once(child, 'exit');
    }
    await rm(this.folder, {recursive: true, force: true});
  }

  private addOutput(text: string): void {
    this.lines.push(...text.trimEnd().split('\n'));
    this.lines = this.lines.slice(-MAX_LINES);
  }
}
