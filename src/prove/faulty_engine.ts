import {
  CacheExport,
  EngineCommand,
  GenerationAttempt,
  ModelEngine,
  DeliveryState,
  ServerFailure,
  Token,
} from '../backend/index.js';
import {FakeEngine} from '../fakes/index.js';
import {VirtualClock} from '../time/index.js';
import {StreamStep} from './stream_schedule.js';

/** Time for which a stalled engine sends no token, in milliseconds. */
const STALL_MS = 60_000;

/** An engine that injects a fault into its next stream, or is terminated. */
export class FaultyEngine implements ModelEngine {
  nextFault: StreamStep['kind'] | 'none' = 'none';
  private readonly killed = new AbortController();

  constructor(
    readonly engine: FakeEngine,
    private readonly clock: VirtualClock,
  ) {}

  kill(): void {
    this.killed.abort();
  }

  async *generate(
    order: GenerationAttempt,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    if (this.killed.signal.aborted) {
      throw new ServerFailure(DeliveryState.NOT_SENT, 'refused');
    }
    const {nextFault: fault} = this;
    this.nextFault = 'none';
    const anySignal = AbortSignal.any([signal, this.killed.signal]);
    let sent = 0;
    for await (const token of this.engine.generate(order, anySignal)) {
      sent++;
      if (fault === 'cross' && sent === 2) {
        yield {...token, requestId: 'another', text: 'CROSSED '};
        continue;
      }
      if (fault === 'skip' && sent === 2) {
        continue;
      }
      yield token;
      if (fault === 'double' && sent === 2) {
        yield token;
      }
      if (fault === 'break' && sent === 3) {
        throw new ServerFailure(
          DeliveryState.SENT,
          'stream broken off after 3 tokens',
        );
      }
      if (fault === 'silence' && sent === 3) {
        await this.clock.sleep(STALL_MS, anySignal);
      }
    }
  }

  getLoad() {
    return this.engine.getLoad();
  }

  listCacheEvents(after: number) {
    return this.engine.listCacheEvents(after);
  }

  exportCache(requestId: string) {
    return this.engine.exportCache(requestId);
  }

  importCache(cache: CacheExport) {
    return this.engine.importCache(cache);
  }

  sendCommand(order: EngineCommand) {
    return this.engine.sendCommand(order);
  }
}
