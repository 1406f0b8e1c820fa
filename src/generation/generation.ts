import {GenerationFormat} from '../backend/index.js';
import {Problem} from '../errors/index.js';

/** What a caller asked to be generated. */
export interface GenerationRequest {
  /** Id by which the answer can be asked for again. */
  readonly id: string;
  readonly customer: string;
  readonly deployment: string;
  /** Adapter asked for; empty for none. */
  readonly adapter: string;
  readonly format: GenerationFormat;
  /** The caller's body, without members of this system. */
  readonly body: Readonly<Record<string, unknown>>;
  /** 0 to 7, smaller is more urgent. */
  readonly urgency: number;
  /** When the whole answer is due, on the local monotonic clock, in ms. */
  readonly deadlineMs: number;
}

/** Something that a reader of a generation sees. */
export type GenerationEvent =
  | {readonly kind: 'token'; readonly position: number; readonly text: string}
  | {readonly kind: 'finished'; readonly reason: string}
  | {readonly kind: 'failed'; readonly problem: Problem};

/**
 * A generation and all tokens it has so far.
 *
 * Readers may come, go and return: each reads from the position it names, so a
 * caller that lost its connection misses nothing and sees nothing twice.
 */
export class Generation {
  private readonly texts: string[] = [];
  private end: GenerationEvent | undefined;
  private readonly wakers = new Set<() => void>();
  private readers = 0;
  private lastReadMs: number;

  /**
   * @param request - What was asked for.
   * @param continuation - Tokens generated elsewhere before.
   * @param nowMs - Monotonic time.
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

  /** Tells whether no more tokens will come. */
  isOver(): boolean {
    return this.end !== undefined;
  }

  /** Adds the next token. */
  addToken(text: string): void {
    if (this.end === undefined) {
      this.texts.push(text);
      this.wake();
    }
  }

  /** Ends it with all tokens generated. */
  finish(reason: string): void {
    this.setEnd({kind: 'finished', reason});
  }

  /** Ends it with a problem. */
  fail(problem: Problem): void {
    this.setEnd({kind: 'failed', problem});
  }

  /**
   * Tells for how long nobody has read it, in milliseconds.
   * @param nowMs - Monotonic time.
   */
  getUnreadMs(nowMs: number): number {
    return this.readers > 0 ? 0 : nowMs - this.lastReadMs;
  }

  /**
   * Reads events from a position to the end.
   * @param from - Position of the first token wanted.
   * @param signal - Ends the reading.
   * @param getNowMs - Returns monotonic time.
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
        if (this.end !== undefined) {
          yield this.end;
          return;
        }
        await this.waitForNews();
      }
    } finally {
      signal.removeEventListener('abort', wakeOnAbort);
      this.readers--;
      this.lastReadMs = getNowMs();
    }
  }

  private setEnd(end: GenerationEvent): void {
    if (this.end === undefined) {
      this.end = end;
      this.wake();
    }
  }

  private waitForNews(): Promise<void> {
    return new Promise(resolve => this.wakers.add(resolve));
  }

  private wake(): void {
    const wakers = [...this.wakers];
    this.wakers.clear();
    for (const waker of wakers) {
      waker();
    }
  }
}
