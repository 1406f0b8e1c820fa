import {write} from 'node:fs';

/** Writes text to a descriptor; calls back with an error or the number of bytes written. */
export type WriteText = (
  text: string,
  done: (error: Error | null, bytes: number) => void,
) => void;

/**
 * Longest text in the queue, in UTF-16 code units; further lines are dropped and
 * counted.
 */
const MAX_QUEUED_LENGTH = 1_048_576;
const STANDARD_OUTPUT = 1;
const RETRY_DELAY_MS = 20;
/** Longest time `drain` waits for the reader, in milliseconds. */
const DRAIN_TIMEOUT_MS = 200;

/**
 * Queue of lines for a pipe whose reader may be slow. Writing never blocks the process:
 * if the queue is full, lines are dropped, and the number of dropped lines is written
 * before the next line that fits.
 */
export class QueuedOutput {
  private waiting: string[] = [];
  private queuedLength = 0;
  private writing = false;
  private dropped = 0;
  /** Set while lines are collected into a batch. */
  private timer: NodeJS.Timeout | undefined;

  /**
   * @param writeText - Writes the text; standard output by default.
   * @param batchMs - Time for which lines are collected before they are written
   *   together, in milliseconds; 0 writes at once. Each write costs two thread
   *   switches, and each request logs several lines.
   */
  constructor(
    private readonly writeText: WriteText = writeStandardOutput,
    private readonly batchMs = 0,
  ) {}

  /** Returns the number of lines dropped since the last line that fitted. */
  countDropped(): number {
    return this.dropped;
  }

  /** Adds a line, which includes its line break. */
  add(line: string): void {
    if (this.queuedLength + line.length > MAX_QUEUED_LENGTH) {
      this.dropped++;
      return;
    }
    if (this.dropped > 0) {
      this.enqueue(
        `level=warn event=log_lines_dropped count=${this.dropped}\n`,
      );
      this.dropped = 0;
    }
    this.enqueue(line);
    if (this.batchMs === 0) {
      this.flush();
      return;
    }
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      this.flush();
    }, this.batchMs);
  }

  /** Waits until all lines are written, or the reader has not read them in time. */
  async drain(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.flush();
    const deadlineMs = performance.now() + DRAIN_TIMEOUT_MS;
    while (this.writing && performance.now() < deadlineMs) {
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  private enqueue(line: string): void {
    this.waiting.push(line);
    this.queuedLength += line.length;
  }

  private flush(): void {
    if (this.writing || this.waiting.length === 0) {
      return;
    }
    const text = this.waiting.join('');
    this.waiting = [];
    this.queuedLength = 0;
    this.send(text);
  }

  private send(text: string): void {
    this.writing = true;
    this.writeText(text, (error, bytes) => {
      const rest = Buffer.from(text).subarray(error === null ? bytes : 0);
      if (rest.length > 0) {
        // The pipe is full or accepted only part of the text.
        setTimeout(() => this.send(rest.toString()), RETRY_DELAY_MS).unref();
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
