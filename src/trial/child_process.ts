import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** Told of each line that a program writes to standard error. */
export type LineListener = (line: string) => void;

const READY_PATTERN = /(?:^ready port=|event=started)/;
const START_TIMEOUT_MS = 15_000;

/** A program of this project, running as a process of its own. */
export class TrialProcess {
  private readonly child: ChildProcess;
  private readonly ready: Promise<void>;
  readonly lines: string[] = [];

  /**
   * @param name - Name for messages.
   * @param program - File name of the program in `bin`, without ending.
   * @param args - Its arguments.
   */
  constructor(
    readonly name: string,
    program: string,
    args: readonly string[],
  ) {
    const path = getProgramPath(program);
    this.child = spawn(process.execPath, [path, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.ready = this.watchLines();
  }

  /** Waits until the program serves. */
  async waitForReady(): Promise<void> {
    const timer = setTimeout(() => this.kill('SIGKILL'), START_TIMEOUT_MS);
    await this.ready;
    clearTimeout(timer);
  }

  /** Returns the id of the process. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  /** Sends a signal. */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends a signal and waits for the end; returns the exit code. */
  async end(signal: NodeJS.Signals): Promise<number | null> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) {
      return this.child.exitCode;
    }
    const ended = once(this.child, 'exit');
    this.child.kill(signal);
    await ended;
    return this.child.exitCode;
  }

  private watchLines(): Promise<void> {
    return new Promise((resolve, reject) => {
      const watch = (line: string) => {
        this.lines.push(line);
        if (READY_PATTERN.test(line)) {
          resolve();
        }
      };
      for (const stream of [this.child.stdout, this.child.stderr]) {
        if (stream !== null) {
          createInterface({input: stream}).on('line', watch);
        }
      }
      this.child.once('exit', code => {
        const last = this.lines.slice(-3).join(' / ');
        reject(new Error(`${this.name} ended with code ${code}: ${last}`));
      });
    });
  }
}

/** Returns the path of a program of this project. */
export function getProgramPath(program: string): string {
  return fileURLToPath(new URL(`../bin/${program}.js`, import.meta.url));
}
