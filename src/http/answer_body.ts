import {IncomingMessage} from 'node:http';
import {checkBodyEnd, Framing, IncompleteAnswer} from '../answer/index.js';
import {waitForClose} from './wait_for_close.js';

/** Number of buffered chunks at which reading from the connection is paused. */
const MAX_BUFFERED_CHUNKS = 16;
const DONE: IteratorResult<Uint8Array> = {done: true, value: undefined};

/** A reader that waits for the next chunk. */
interface Waiter {
  readonly resolve: (result: IteratorResult<Uint8Array>) => void;
  readonly reject: (error: Error) => void;
}

/**
 * Iterates over the body of a response, chunk by chunk as it arrives. It can be
 * read once, by one reader. Iterating over the `IncomingMessage` itself would create
 * several iterators per request.
 */
export class AnswerBody
  implements AsyncIterable<Uint8Array>, AsyncIterator<Uint8Array>
{
  private readonly chunks: Uint8Array[] = [];
  private waiter: Waiter | undefined;
  private isFinished = false;
  private failure: Error | undefined;

  /** Resolves to whether the marked end has arrived once the response has ended. */
  private readonly markedEnd: Promise<boolean>;

  /**
   * @param answer - The response; none of its body has been read yet.
   * @param framing - How the end of its body is marked.
   */
  constructor(
    private readonly answer: IncomingMessage,
    private readonly framing: Framing,
  ) {
    this.markedEnd =
      framing === Framing.CONNECTION
        ? waitForClose(answer.socket)
        : Promise.resolve(true);
    answer.on('data', (chunk: Uint8Array) => this.add(chunk));
    answer.on('error', error => this.finish(false, error));
    answer.once('end', () => void this.finishOnEnd());
    answer.once('close', () => {
      if (!answer.complete) {
        this.finish(false);
      }
    });
  }

  [Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    return this;
  }

  /** @throws IncompleteAnswer - When the response ended before its body was complete. */
  next(): Promise<IteratorResult<Uint8Array>> {
    const chunk = this.chunks.shift();
    if (chunk !== undefined) {
      this.resumeWhenDrained();
      return Promise.resolve({done: false, value: chunk});
    }
    if (this.failure !== undefined) {
      return Promise.reject(this.failure);
    }
    if (this.isFinished) {
      return Promise.resolve(DONE);
    }
    return new Promise((resolve, reject) => {
      this.waiter = {resolve, reject};
    });
  }

  /** Called when the reader stops early: aborts the response, whose rest is not needed. */
  return(): Promise<IteratorResult<Uint8Array>> {
    this.answer.destroy();
    return Promise.resolve(DONE);
  }

  private add(chunk: Uint8Array): void {
    const {waiter} = this;
    if (waiter !== undefined) {
      this.waiter = undefined;
      waiter.resolve({done: false, value: chunk});
      return;
    }
    this.chunks.push(chunk);
    if (this.chunks.length >= MAX_BUFFERED_CHUNKS) {
      this.answer.pause();
    }
  }

  private resumeWhenDrained(): void {
    if (this.chunks.length === 0 && this.answer.isPaused()) {
      this.answer.resume();
    }
  }

  private async finishOnEnd(): Promise<void> {
    this.finish(this.answer.complete && (await this.markedEnd));
  }

  private finish(hasMarkedEnd: boolean, error?: Error): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    const failure =
      error instanceof IncompleteAnswer
        ? error
        : checkBodyEnd({framing: this.framing, hasMarkedEnd});
    this.failure = failure;
    const {waiter} = this;
    this.waiter = undefined;
    if (failure === undefined) {
      waiter?.resolve(DONE);
    } else {
      waiter?.reject(failure);
    }
  }
}
