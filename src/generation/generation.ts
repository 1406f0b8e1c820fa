import {GenerationFormat} from '../backend/index.js';
import {Problem} from '../errors/index.js';

/** Request of a caller for a generation. */
export interface GenerationRequest {
  /** Id by which the answer can be requested again. */
  readonly id: string;
  readonly customer: string;
  readonly deployment: string;
  /** Requested adapter; empty for none. */
  readonly adapter: string;
  readonly format: GenerationFormat;
  /** The caller's body without the properties that are specific to this system. */
  readonly body: Readonly<Record<string, unknown>>;
  /** 0 to 7; a smaller value is more urgent. */
  readonly urgency: number;
  /** Deadline of the complete answer, on the local monotonic clock, in ms. */
  readonly deadlineMs: number;
}

/** Event that a reader of a generation receives. */
export type GenerationEvent =
  | {readonly kind: 'token'; readonly position: number; readonly text: string}
  | {readonly kind: 'finished'; readonly reason: string}
  | {readonly kind: 'failed'; readonly problem: Problem};

/**
 * A generation with all tokens generated so far.
 *
 * Readers may disconnect and return. Each reads from the position it specifies, so a
 * caller that lost its connection misses no token and receives none twice.
 */
export class Generation {
  private readonly texts: string[] = [];
  private finalEvent: GenerationEvent | undefined;
  private readonly wakeCallbacks = new Set<() => void>();
  private readers = 0;
  private lastReadMs: number;

  /**
   * @param request - The request of the caller.
   * @param continuation - Texts of the tokens generated before, elsewhere.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  constructor(
    readonly request: GenerationRequest,
    continuation: readonly string[],
    nowMs: number,
  ) {
    this.texts.push(...continuation);
    this.lastReadMs = nowMs;
  }

  /** Returns the texts of all tokens so far. */
  getTexts(): readonly string[] {
    return this.texts;
  }

  /** Returns whether the generation has finished or failed. */
  isOver(): boolean {
    return this.finalEvent !== undefined;
  }

  /** Adds the next token, unless the generation is over. */
  addToken(text: string): void {
    if (this.finalEvent === undefined) {
      this.texts.push(text);
      this.wake();
    }
  }

  /** Ends the generation successfully. */
  finish(reason: string): void {
    this.setFinalEvent({kind: 'finished', reason});
  }

  /** Ends the generation with a problem. */
  fail(problem: Problem): void {
    this.setFinalEvent({kind: 'failed', problem});
  }

  /**
   * Returns for how long the generation has had no reader, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  getUnreadMs(nowMs: number): number {
    return this.readers > 0 ? 0 : nowMs - this.lastReadMs;
  }

  /**
   * Reads events from a position to the end.
   * @param from - Position of the first token to read.
   * @param signal - Stops reading.
   * @param getNowMs - Returns the monotonic time, in milliseconds.
   */
  async *read(
    from: number,
    signal: AbortSignal,
    getNowMs: () => number,
  ): AsyncGenerator<GenerationEvent> {
    this.readers++;
    const wakeOnAbort = () => this.wake();
    signal.addEventListener('abort', wakeOnAbort, {once: true});
    try {
      let position = from;
      while (!signal.aborted) {
        const text = this.texts[position];
        if (text !== undefined) {
          yield {kind: 'token', position, text};
          position++;
          continue;
        }
        if (this.finalEvent !== undefined) {
          yield this.finalEvent;
          return;
        }
        await this.waitForUpdate();
      }
    } finally {
      signal.removeEventListener('abort', wakeOnAbort);
      this.readers--;
      this.lastReadMs = getNowMs();
    }
  }

  private setFinalEvent(event: GenerationEvent): void {
    if (this.finalEvent === undefined) {
      this.finalEvent = event;
      this.wake();
    }
  }

  private waitForUpdate(): Promise<void> {
    return new Promise(resolve => this.wakeCallbacks.add(resolve));
  }

  private wake(): void {
    const callbacks = [...this.wakeCallbacks];
    this.wakeCallbacks.clear();
    for (const callback of callbacks) {
      callback();
    }
  }
}
