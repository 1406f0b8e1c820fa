import {IncomingMessage} from 'node:http';
import {Result} from 'true-myth';
import {BlockPool} from './block_pool.js';
import {BodyBuffer} from './body_buffer.js';

/** Why there is no body. */
export const BodyFailure = {
  /** It is longer than the limit. */
  TOO_LONG: 'too-long',
  /** Its sender has disconnected before its end. */
  INCOMPLETE: 'incomplete',
  /** It was discarded. */
  DISCARDED: 'discarded',
} as const;
export type BodyFailure = (typeof BodyFailure)[keyof typeof BodyFailure];

/** Options of a `BodyReader`. */
export interface BodyReaderOptions {
  /** Longest body, in bytes. */
  readonly maxBytes: number;
  readonly pool: BlockPool;
}

/**
 * Reads the body of a request as it arrives, from the moment at which it is created. A body that
 * nothing reads waits in node:http as one object for each chunk.
 */
export class BodyReader {
  private readonly buffer: BodyBuffer;
  /** The only chunk of a body that arrives in one; it is not copied. */
  private whole: Buffer | undefined;
  private end: Result<Buffer, BodyFailure> | undefined;
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
    this.buffer = new BodyBuffer(options.pool);
    message.on('data', (chunk: Buffer) => this.add(chunk));
    message.once('end', () => this.complete());
    message.once('close', () => this.fail(BodyFailure.INCOMPLETE));
    message.on('error', () => this.fail(BodyFailure.INCOMPLETE));
  }

  /** Resolves to the body, or why there is none. */
  async read(): Promise<Result<Buffer, BodyFailure>> {
    await this.ended;
    return this.end ?? Result.err(BodyFailure.DISCARDED);
  }

  /** Drops what has arrived, and what still arrives. Has no effect on a body that is complete. */
  discard(): void {
    this.fail(BodyFailure.DISCARDED);
  }

  private add(chunk: Buffer): void {
    if (this.end !== undefined) {
      return;
    }
    const {message, buffer, options} = this;
    const length = buffer.getLength() + chunk.length;
    if (length > options.maxBytes) {
      this.fail(BodyFailure.TOO_LONG);
    } else if (chunk.length === Number(message.headers['content-length'])) {
      this.whole = chunk;
    } else {
      buffer.append(chunk);
    }
  }

  private complete(): void {
    if (this.end === undefined) {
      this.settle(Result.ok(this.whole ?? this.buffer.copy()));
    }
  }

  private fail(failure: BodyFailure): void {
    if (this.end === undefined) {
      this.settle(Result.err(failure));
    }
  }

  private settle(end: Result<Buffer, BodyFailure>): void {
    this.end = end;
    this.whole = undefined;
    this.buffer.clear();
    this.resolveEnd();
  }
}
