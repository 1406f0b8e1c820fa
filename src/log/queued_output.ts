import {write} from 'node:fs';

/** Writes text to a descriptor; calls back with an error or the bytes taken. */
export type WriteText = (
  text: string,
  done: (error: Error | null, bytes: number) => void,
) => void;

/** Bytes that may wait; lines beyond are dropped and counted. */
const MAX_WAITING_BYTES = 1_048_576;
const STANDARD_OUTPUT = 1;
const RETRY_MS = 20;
/** Longest wait for the reader at the end of the process, in milliseconds. */
const DRAIN_MS = 200;

/**
 * Lines on their way to a pipe whose reader may be slow. Writing never blocks
 * the process: what does not fit is dropped, and the next line that fits says
 * how many were.
 */
export class QueuedOutput {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private writing = false;
  private dropped = 0;
  /** Set while lines are gathered. */
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param writeText - Where the text goes; standard output if left out.
   * @param gatherMs - Time for which lines are gathered, in milliseconds: each write
   *   costs two changes of thread, and there are several lines a request.
   */
  constructor(
    private readonly writeText: WriteText = writeStandardOutput,
    private readonly gatherMs = 0,
  ) {}

  /** Returns the lines that were dropped since the last that fitted. */
  countDropped(): number {
    return this.dropped;
  }

  /** Adds a line. */
  add(line: string): void {
    if (this.waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.dropped++;
      return;
    }
    if (this.dropped > 0) {
      this.push(`level=warn event=log_lines_dropped count=${this.dropped}\n`);
      this.dropped = 0;
    }
    this.push(line);
    if (this.gatherMs === 0) {
      this.flush();
      return;
    }
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, this.gatherMs);
  }

  /** Waits until what was added is written, or its reader does not take it. */
  async drain(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.flush();
    const endMs = performance.now() + DRAIN_MS;
    while (this.writing && performance.now() < endMs) {
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
  }

  private push(line: string): void {
    this.waiting.push(line);
    this.waitingBytes += line.length;
  }

  private flush(): void {
    if (this.writing || this.waiting.length === 0) {
      return;
    }
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingBytes = 0;
    this.send(text);
  }

  private send(text: string): void {
    this.writing = true;
    this.writeText(text, (error, bytes) => {
      const rest = Buffer.from(text).subarray(error === null ? bytes : 0);
      if (rest.length > 0) {
        // The pipe is full, or took a part.
        setTimeout(() => this.send(rest.toString()), RETRY_MS).unref();
        return;
      }
      this.writing = false;
      this.flush();
    });
  }
}

function writeStandardOutput(
  text: string,
  done: (error: Error | null, bytes: number) => void,
): void {
  write(STANDARD_OUTPUT, text, (error, bytes) => done(error, bytes));
}
