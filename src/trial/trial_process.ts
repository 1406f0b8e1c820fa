import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** Called with each line that a program writes to standard error. */
export type LineListener = (line: string) => void;

const READY_PATTERN = /(?:^ready port=|event=started)/;
const START_TIMEOUT_MS = 15_000;

/** A program of this project that runs as a child process. */
export class TrialProcess {
  private readonly child: ChildProcess;
  private readonly ready: Promise<void>;
  /** Lines written so far to standard output and standard error. */
  readonly lines: string[] = [];

  /**
   * @param name - Name used in error messages.
   * @param program - File name of the program in `bin`, without extension.
   * @param args - Command-line arguments.
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

  /**
   * Waits until the program reports that it is ready to serve; kills it after 15 s.
   * @throws Error - When the process exits first.
   */
  async waitForReady(): Promise<void> {
    const timer = setTimeout(() => this.kill('SIGKILL'), START_TIMEOUT_MS);
    await this.ready;
    clearTimeout(timer);
  }

  /** Returns the process id; 0 when the process could not be started. */
  getPid(): number {
    return this.child.pid ?? 0;
  }

  /** Sends a signal without waiting for its effect. */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /**
   * Sends a signal and waits until the process has exited.
   * @returns The exit code; null when a signal ended the process.
   */
  async terminate(signal: NodeJS.Signals): Promise<number | null> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) {
      return this.child.exitCode;
    }
    const exited = once(this.child, 'exit');
    this.child.kill(signal);
    await exited;
    return this.child.exitCode;
  }

  private watchLines(): Promise<void> {
    return new Promise((resolve, reject) => {
      const handleLine = (line: string) => {
        this.lines.push(line);
        if (READY_PATTERN.test(line)) {
          resolve();
        }
      };
      for (const stream of [this.child.stdout, this.child.stderr]) {
        if (stream !== null) {
          createInterface({input: stream}).on('line', handleLine);
        }
      }
      this.child.once('exit', code => {
        const lastLines = this.lines.slice(-3).join(' / ');
        reject(
          new Error(
            `${this.name} exited with code ${code}; last output: ${lastLines}`,
          ),
        );
      });
    });
  }
}

/** Returns the path of a compiled program of this project. */
export function getProgramPath(program: string): string {
  return fileURLToPath(new URL(`../bin/${program}.js`, import.meta.url));
}
