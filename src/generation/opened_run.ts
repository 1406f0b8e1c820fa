import {
  DeliveryState,
  GenerationAttempt,
  ModelEngine,
  ServerFailure,
  Token,
} from '../backend/index.js';
import {InFlightRequest, RoutingDecision} from '../routing/index.js';

/** A run that is begun beside a silent one, and may take its place. */
export class OpenedRun {
  /** Resolves when the first token arrives; rejects if there is no valid one. */
  readonly first: Promise<IteratorResult<Token>>;
  private readonly stopped = new AbortController();
  private readonly tokens: AsyncIterator<Token>;

  /**
   * Sends the request.
   * @param decision - The choice of the server.
   * @param engine - The engine of that server.
   * @param request - The request.
   * @param inFlight - Counts the run at its server.
   * @param startMs - Monotonic time, in milliseconds.
   * @param checkToken - Throws if the first token is not valid.
   * @param signal - Ends the run.
   */
  constructor(
    readonly decision: RoutingDecision,
    engine: ModelEngine,
    request: GenerationAttempt,
    readonly inFlight: InFlightRequest,
    readonly startMs: number,
    checkToken: (token: Token) => void,
    signal: AbortSignal,
  ) {
    const stop = AbortSignal.any([signal, this.stopped.signal]);
    this.tokens = engine.generate(request, stop)[Symbol.asyncIterator]();
    this.first = this.tokens.next().then(result => {
      if (result.done === true) {
        throw new ServerFailure(DeliveryState.SENT, 'the stream has no token');
      }
      checkToken(result.value);
      return result;
    });
  }

  /** Ends the run because it is not needed, which says nothing about its server. */
  discard(): void {
    this.stopped.abort();
    this.inFlight.finish(true);
  }

  /** Ends the run as a failure of its server. */
  fail(): void {
    this.inFlight.finish(false);
    this.stopped.abort();
  }

  /**
   * Yields all tokens.
   * @param signal - Ends the run.
   */
  async *read(signal: AbortSignal): AsyncGenerator<Token> {
    const stop = () => this.stopped.abort();
    signal.addEventListener('abort', stop, {once: true});
    try {
      let next = await this.first;
      while (next.done !== true) {
        yield next.value;
        next = await this.tokens.next();
      }
    } finally {
      signal.removeEventListener('abort', stop);
      stop();
    }
  }
}
