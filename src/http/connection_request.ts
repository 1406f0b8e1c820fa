import {IncomingMessage} from 'node:http';

/** When a request of a connection may be handled. */
export const Turn = {
  /** Now: all requests before it are answered. */
  NOW: 'now',
  /** No more, since the listener has stopped; it can still be answered. */
  STOPPED: 'stopped',
  /** Never: its connection ends before it could be answered. */
  NEVER: 'never',
} as const;
export type Turn = (typeof Turn)[keyof typeof Turn];

/** Created once: an error per request would cost a stack trace each. */
const DISCONNECTED = new Error('the caller closed the connection');

/** A request on a connection of an HTTP server, until its answer is complete. */
export class ConnectionRequest {
  /** Whether it has been passed on, so that a server may run it. */
  isPassedOn = false;
  private bodyBytes = 0;
  private readonly controller = new AbortController();
  private resolveTurn: (turn: Turn) => void = () => undefined;
  private readonly turn = new Promise<Turn>(resolve => {
    this.resolveTurn = resolve;
  });

  /**
   * @param message - The request.
   * @param startedMs - When it began to arrive, in monotonic milliseconds.
   * @param onCloseAfter - Called by `closeAfter`.
   */
  constructor(
    readonly message: IncomingMessage,
    readonly startedMs: number,
    private readonly onCloseAfter: (request: ConnectionRequest) => void,
  ) {}

  /** Aborted when the connection ends before the answer is complete. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Returns the bytes of its body that have arrived. */
  countBodyBytes(): number {
    return this.bodyBytes;
  }

  /** Records that bytes of its body have arrived. */
  addBodyBytes(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Resolves when all requests before it are answered, or it never can be. */
  waitForTurn(): Promise<Turn> {
    return this.turn;
  }

  /** Has no effect after the first call. */
  startTurn(turn: Turn): void {
    this.resolveTurn(turn);
  }

  /**
   * Makes this the last request of its connection. Those behind it are not handled, and the
   * connection ends after the answer.
   */
  closeAfter(): void {
    this.onCloseAfter(this);
  }

  /** Ends the request without an answer: its connection has ended, or it is not answered. */
  abort(): void {
    this.resolveTurn(Turn.NEVER);
    this.controller.abort(DISCONNECTED);
  }
}
