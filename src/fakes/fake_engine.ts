import {Result} from 'true-myth';
import {
  BLOCK_TOKENS,
  CacheEvent,
  CacheExport,
  EngineOrder,
  EngineOrderKind,
  estimateTokens,
  GenerationOrder,
  getPromptText,
  hashPrefixBlocks,
  LoadedModel,
  LoadReport,
  ModelEngine,
  Reach,
  ServerFailure,
  Token,
} from '../backend/index.js';
import {hashText} from '../random/index.js';
import {Clock} from '../time/index.js';

/** Speed and size of a fake engine. */
export interface FakeEngineOptions {
  readonly name: string;
  /** Generations decoded at once. */
  readonly capacity: number;
  /** Prompt tokens per second of prefill. */
  readonly prefillRate: number;
  /** Milliseconds between tokens. */
  readonly decodeMs: number;
  /** Prefix blocks kept in the cache. */
  readonly cacheBlocks: number;
  /** Loaded at the start. */
  readonly models: readonly LoadedModel[];
  /** Whether an order with an old fencing number is refused. */
  readonly checkFence: boolean;
}

/** What a fake engine has done, for checks and measurements. */
export interface FakeEngineCounts {
  generations: number;
  tokens: number;
  /** Prompt and continuation tokens that had to be computed. */
  prefillTokens: number;
  /** Prompt tokens found in the cache. */
  cachedTokens: number;
  /** Tokens already sent once that had to be computed again. */
  recomputedTokens: number;
}

/** A request waiting for a place in the batch. */
interface Waiter {
  readonly urgency: number;
  readonly order: number;
  readonly admit: () => void;
}

const DEFAULT_TOKENS = 16;
const MAX_BLOCKS = 4096;
const VOCABULARY = 1000;

/**
 * Fake model engine: batches, queues by urgency, caches prefixes, exports KV.
 * Its tokens depend on the prompt and position only, so any whole answer can
 * be checked against `getExpectedTokens`.
 */
export class FakeEngine implements ModelEngine {
  readonly counts: FakeEngineCounts = {
    generations: 0,
    tokens: 0,
    prefillTokens: 0,
    cachedTokens: 0,
    recomputedTokens: 0,
  };
  /** Whether an order with an old fencing number is refused. */
  checksFence: boolean;
  /** Factor by which it is slower than its options say. */
  slowdown = 1;
  private running = 0;
  /** When the prompt computed last will be done; monotonic ms. */
  private prefillFreeMs = 0;
  private waiterOrder = 0;
  private waiters: Waiter[] = [];
  private models: LoadedModel[];
  private highestFence = 0;
  private eventSequence = 0;
  private readonly cache = new Map<number, true>();
  private readonly cacheEvents: CacheEvent[] = [];
  private readonly imported = new Set<string>();
  private readonly exported = new Map<string, AbortController>();

  constructor(
    readonly options: FakeEngineOptions,
    private readonly clock: Clock,
  ) {
    this.models = [...options.models];
    this.checksFence = options.checkFence;
  }

  async *generate(
    order: GenerationOrder,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    const model = String(order.body['model']);
    if (!this.models.some(loaded => loaded.name === model)) {
      throw new ServerFailure(Reach.NOT_SENT, `model ${model} is not loaded`);
    }
    const stopped = new AbortController();
    this.exported.set(order.requestId, stopped);
    const either = AbortSignal.any([signal, stopped.signal]);
    await this.enter(order.urgency, either);
    try {
      if (either.aborted) {
        throw new ServerFailure(Reach.SENT, 'cancelled');
      }
      this.counts.generations++;
      await this.prefill(order, either);
      yield* this.decode(order, either);
    } finally {
      this.exported.delete(order.requestId);
      this.leave();
    }
  }

  async getLoad(): Promise<Result<LoadReport, ServerFailure>> {
    return Result.ok({
      running: this.running,
      waiting: this.waiters.length,
      capacity: this.options.capacity,
      prefillRate: this.options.prefillRate,
      decodeMs: this.options.decodeMs,
      models: this.models,
    });
  }

  async listCacheEvents(
    after: number,
  ): Promise<Result<readonly CacheEvent[], ServerFailure>> {
    return Result.ok(this.cacheEvents.filter(event => event.sequence > after));
  }

  async exportCache(
    requestId: string,
  ): Promise<Result<CacheExport, ServerFailure>> {
    const running = this.exported.get(requestId);
    if (running === undefined) {
      return Result.err(
        new ServerFailure(Reach.SENT, `no generation ${requestId} runs here`),
      );
    }
    running.abort();
    return Result.ok({handle: requestId, tokens: 0});
  }

  async importCache(cache: CacheExport): Promise<Result<void, ServerFailure>> {
    this.imported.add(cache.handle);
    return Result.ok(undefined);
  }

  async give(order: EngineOrder): Promise<Result<void, ServerFailure>> {
    if (this.checksFence && order.fence < this.highestFence) {
      return Result.err(
        new ServerFailure(
          Reach.SENT,
          `fence ${order.fence} is older than ${this.highestFence}`,
        ),
      );
    }
    this.highestFence = Math.max(this.highestFence, order.fence);
    this.execute(order);
    return Result.ok(undefined);
  }

  private execute(order: EngineOrder): void {
    const others = this.models.filter(model => model.name !== order.model);
    const current = this.models.find(model => model.name === order.model);
    if (order.kind === EngineOrderKind.UNLOAD_MODEL) {
      this.models = others;
    }
    if (order.kind === EngineOrderKind.LOAD_MODEL) {
      const adapters = current?.adapters ?? [];
      const loaded = {name: order.model, version: order.version, adapters};
      this.models = [...others, loaded];
    }
    if (order.kind === EngineOrderKind.LOAD_ADAPTER && current !== undefined) {
      const adapters = [...current.adapters, order.adapter ?? ''];
      this.models = [...others, {...current, adapters}];
    }
  }

  private async prefill(
    order: GenerationOrder,
    signal: AbortSignal,
  ): Promise<void> {
    const prompt = getPromptText(order.body);
    const blocks = hashPrefixBlocks(
      String(order.body['model']),
      prompt,
      MAX_BLOCKS,
    );
    const whole = estimateTokens(prompt) + order.continuation.length;
    let cached = 0;
    if (this.imported.delete(order.requestId)) {
      cached = whole;
    } else {
      cached = this.countCachedBlocks(blocks) * BLOCK_TOKENS;
      if (order.continuation.length > 0) {
        this.counts.recomputedTokens += whole - cached;
      }
    }
    this.counts.cachedTokens += cached;
    this.counts.prefillTokens += whole - cached;
    this.storeBlocks(blocks);
    // One prompt is computed at a time; the next waits for it.
    const nowMs = this.clock.monotonicMs();
    const prefillMs =
      ((whole - cached) * 1000 * this.slowdown) / this.options.prefillRate;
    this.prefillFreeMs = Math.max(nowMs, this.prefillFreeMs) + prefillMs;
    await this.clock.sleep(this.prefillFreeMs - nowMs, signal);
  }

  private async *decode(
    order: GenerationOrder,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    const expected = getExpectedTokens(order.body);
    for (
      let position = order.continuation.length;
      position < expected.length;
      position++
    ) {
      await this.clock.sleep(this.options.decodeMs * this.slowdown, signal);
      if (signal.aborted) {
        throw new ServerFailure(Reach.SENT, 'the generation was stopped');
      }
      this.counts.tokens++;
      const last = position === expected.length - 1;
      yield {
        requestId: order.requestId,
        position,
        text: expected[position] ?? '',
        ...(last ? {finishReason: 'stop'} : {}),
      };
    }
  }

  private enter(urgency: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || this.running < this.options.capacity) {
      this.running++;
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const waiter = {urgency, order: this.waiterOrder++, admit: resolve};
      this.waiters.push(waiter);
      const cancel = () => {
        if (!this.waiters.includes(waiter)) {
          return;
        }
        this.waiters = this.waiters.filter(other => other !== waiter);
        // `leave` will be called for it, so count it in.
        this.running++;
        resolve();
      };
      signal.addEventListener('abort', cancel, {once: true});
    });
  }

  private leave(): void {
    this.running--;
    if (this.running >= this.options.capacity) {
      return;
    }
    let next = this.waiters[0];
    for (const waiter of this.waiters) {
      if (next === undefined || waiter.urgency < next.urgency) {
        next = waiter;
      }
    }
    if (next !== undefined) {
      this.waiters = this.waiters.filter(other => other !== next);
      this.running++;
      next.admit();
    }
  }

  private countCachedBlocks(blocks: readonly number[]): number {
    let count = 0;
    for (const block of blocks) {
      if (!this.cache.has(block)) {
        break;
      }
      count++;
    }
    return count;
  }

  private storeBlocks(blocks: readonly number[]): void {
    for (const block of blocks) {
      if (this.cache.delete(block)) {
        this.cache.set(block, true);
        continue;
      }
      this.cache.set(block, true);
      this.addCacheEvent('stored', block);
    }
    for (const oldest of this.cache.keys()) {
      if (this.cache.size <= this.options.cacheBlocks) {
        break;
      }
      this.cache.delete(oldest);
      this.addCacheEvent('evicted', oldest);
    }
  }

  private addCacheEvent(kind: 'stored' | 'evicted', block: number): void {
    this.eventSequence++;
    this.cacheEvents.push({sequence: this.eventSequence, kind, block});
    if (this.cacheEvents.length > MAX_BLOCKS) {
      this.cacheEvents.shift();
    }
  }
}

/**
 * Tells the tokens every fake engine gives for a body.
 * @param body - Body of a completion request.
 */
export function getExpectedTokens(
  body: Readonly<Record<string, unknown>>,
): string[] {
  const limit = body['max_tokens'] ?? body['max_completion_tokens'];
  const count = typeof limit === 'number' ? limit : DEFAULT_TOKENS;
  const seed = hashText(getPromptText(body));
  const tokens: string[] = [];
  for (let position = 0; position < count; position++) {
    tokens.push(`w${hashText(`${seed}/${position}`) % VOCABULARY} `);
  }
  return tokens;
}
