import {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {BodyBuffer} from './body_buffer.js';
import {BodyMemory} from './body_memory.js';

/** Why there is no body. */
export const BodyFailure = {
  /** It is longer than the limit. */
  TOO_LONG: 'too-long',
  /** Its sender has disconnected before its end. */
  INCOMPLETE: 'incomplete',
  /** It has not arrived in time. */
  TOO_SLOW: 'too-slow',
  /** There is no memory left for it. */
  NO_MEMORY: 'no-memory',
  /** It was discarded. */
  DISCARDED: 'discarded',
} as const;
export type BodyFailure = (typeof BodyFailure)[keyof typeof BodyFailure];

/** Options of a `BodyReader`. */
export interface BodyReaderOptions {
  /** Longest body, in bytes. */
  readonly maxBytes: number;
  /** Memory that the body takes. */
  readonly memory: BodyMemory;
  /** Called for each chunk that arrives, with its bytes; also for one that is dropped. */
  readonly onChunk?: (bytes: number) => void;
  /** Called when the body is given up, since there is no memory left for it. */
  readonly onEvicted: () => void;
}

/**
 * Reads the body of a request as it arrives, from the moment at which it is created. A body that
 * nothing reads waits in node:http as one object for each chunk.
 */
export class BodyReader {
  private readonly buffer: BodyBuffer;
  private isComplete = false;
  private failure: BodyFailure | undefined;
  private keptBytes = 0;
  private resolveEnd: () => void = () => undefined;
  private readonly ended = new Promise<void>(resolve => {
    this.resolveEnd = resolve;
  });

  /**
   * @param message - The request; none of its body has been read yet.
   * @param options - Limits of the body.
   */
  constructor(
    private readonly message: IncomingMessage,
    private readonly options: BodyReaderOptions,
  ) {
    const {memory, maxBytes, onEvicted} = options;
    this.buffer = new BodyBuffer(memory, maxBytes, () => {
      this.fail(BodyFailure.NO_MEMORY);
      onEvicted();
    });
    message.on('data', (chunk: Buffer) => this.add(chunk));
    message.once('end', () => this.complete());
    message.once('close', () => this.failIfIncomplete());
    message.on('error', () => this.failIfIncomplete());
  }

  /**
   * Waits for the body and takes it to be passed on. It then keeps its memory until `release`.
   * @returns The body, or why there is none.
   */
  async take(): Promise<Result<Buffer, BodyFailure>> {
    await this.ended;
    const {buffer, options} = this;
    const bytes = buffer.getLength();
    if (this.failure === undefined && !options.memory.keep(bytes)) {
      this.fail(BodyFailure.NO_MEMORY);
    }
    if (this.failure !== undefined) {
      return Result.err(this.failure);
    }
    const body = buffer.copyOut();
    this.keptBytes = bytes;
    buffer.clear();
    return Result.ok(body);
  }

  /** Gives up the body if it has not arrived completely. */
  expire(): void {
    if (!this.isComplete) {
      this.fail(BodyFailure.TOO_SLOW);
    }
  }

  /** Drops what has arrived, and what still arrives, unless it was taken. */
  discard(): void {
    this.fail(BodyFailure.DISCARDED);
  }

  /** Gives back all memory: the request has ended. */
  release(): void {
    this.discard();
    this.options.memory.release(this.keptBytes);
    this.keptBytes = 0;
  }

  private add(chunk: Buffer): void {
    this.options.onChunk?.(chunk.length);
    if (this.failure !== undefined) {
      return;
    }
    const {message, buffer, options} = this;
    if (buffer.getLength() + chunk.length > options.maxBytes) {
      this.fail(BodyFailure.TOO_LONG);
      return;
    }
    const length = Number(message.headers['content-length']);
    buffer.append(chunk, chunk.length === length);
  }

  private complete(): void {
    this.isComplete = true;
    this.resolveEnd();
  }

  private failIfIncomplete(): void {
    if (!this.isComplete) {
      this.fail(BodyFailure.INCOMPLETE);
    }
  }

  private fail(failure: BodyFailure): void {
    this.failure ??= failure;
    this.buffer.clear();
    this.resolveEnd();
  }
}
