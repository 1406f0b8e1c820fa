import {
  CacheExport,
  EngineOrder,
  GenerationOrder,
  ModelEngine,
  Reach,
  ServerFailure,
  Token,
} from '../backend/index.js';
import {FakeEngine} from '../fakes/index.js';
import {VirtualClock} from '../time/index.js';
import {StreamStep} from './stream_schedule.js';

/** Time for which a silent engine says nothing, in milliseconds. */
const SILENT_MS = 60_000;

/** An engine whose next stream can be spoilt. */
export class SpoiltEngine implements ModelEngine {
  spoil: StreamStep['kind'] | 'none' = 'none';
  private readonly killed = new AbortController();

  constructor(
    readonly engine: FakeEngine,
    private readonly clock: VirtualClock,
  ) {}

  kill(): void {
    this.killed.abort();
  }

  async *generate(
    order: GenerationOrder,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    if (this.killed.signal.aborted) {
      throw new ServerFailure(Reach.NOT_SENT, 'refused');
    }
    const {spoil} = this;
    this.spoil = 'none';
    const either = AbortSignal.any([signal, this.killed.signal]);
    let sent = 0;
    for await (const token of this.engine.generate(order, either)) {
      sent++;
      if (spoil === 'cross' && sent === 2) {
        yield {...token, requestId: 'another', text: 'CROSSED '};
        continue;
      }
      if (spoil === 'skip' && sent === 2) {
        continue;
      }
      yield token;
      if (spoil === 'double' && sent === 2) {
        yield token;
      }
      if (spoil === 'break' && sent === 3) {
        throw new ServerFailure(Reach.SENT, 'broken off');
      }
      if (spoil === 'silence' && sent === 3) {
        await this.clock.sleep(SILENT_MS, either);
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

  give(order: EngineOrder) {
    return this.engine.give(order);
  }
}
