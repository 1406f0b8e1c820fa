import {Result} from 'true-myth';
import {
  BLOCK_TOKENS,
  CacheEvent,
  CacheExport,
  EngineCommand,
  EngineCommandKind,
  estimateTokens,
  GenerationAttempt,
  getPromptText,
  hashPrefixBlocks,
  LoadedModel,
  LoadReport,
  ModelEngine,
  DeliveryState,
  ServerFailure,
  Token,
} from '../backend/index.js';
import {hashText} from '../random/index.js';
import {Clock} from '../time/index.js';

/** Speed, capacity and initial state of a fake engine. */
export interface FakeEngineOptions {
  readonly name: string;
  /** Number of generations that are decoded concurrently. */
  readonly capacity: number;
  /** Prompt tokens per second of prefill. */
  readonly prefillRate: number;
  /** Milliseconds between tokens. */
  readonly decodeMs: number;
  /** Maximum number of prefix blocks in the cache. */
  readonly cacheBlocks: number;
  /** Models that are loaded initially. */
  readonly models: readonly LoadedModel[];
  /** Whether a command with an outdated fencing token is rejected. */
  readonly checkFence: boolean;
}

/** Work that a fake engine has done, for checks and measurements. */
export interface FakeEngineCounts {
  generations: number;
  tokens: number;
  /** Prompt and continuation tokens that had to be computed. */
  prefillTokens: number;
  /** Prompt and continuation tokens covered by the prefix cache or an imported KV cache. */
  cachedTokens: number;
  /** Tokens computed again to resume a generation: its prompt and continuation, less the cached. */
  recomputedTokens: number;
}

/** A generation that waits for a slot in the batch. */
interface QueuedGeneration {
  readonly urgency: number;
  readonly order: number;
  readonly admit: () => void;
}

const DEFAULT_TOKENS = 16;
const MAX_BLOCKS = 4096;
const VOCABULARY = 1000;

/**
 * Fake model engine with batching, a queue ordered by urgency, a prefix cache and export of KV
 * caches. Its tokens depend on the prompt and the position only, so any complete answer can be
 * checked against `getExpectedTokens`.
 */
export class FakeEngine implements ModelEngine {
  readonly counts: FakeEngineCounts = {
    generations: 0,
    tokens: 0,
    prefillTokens: 0,
    cachedTokens: 0,
    recomputedTokens: 0,
  };
  /** Whether a command with an outdated fencing token is rejected. */
  checksFence: boolean;
  /** Factor that multiplies the prefill and decode times of the options. */
  slowdown = 1;
  private running = 0;
  /** Time at which all prefill so far is done, in ms of the monotonic clock. */
  private prefillDoneMs = 0;
  private nextQueueOrder = 0;
  private queue: QueuedGeneration[] = [];
  private models: LoadedModel[];
  private highestFence = 0;
  private eventSequence = 0;
  private readonly cache = new Map<number, true>();
  private readonly cacheEvents: CacheEvent[] = [];
  private readonly importedHandles = new Set<string>();
  private readonly abortByRequestId = new Map<string, AbortController>();

  constructor(
    readonly options: FakeEngineOptions,
    private readonly clock: Clock,
  ) {
    this.models = [...options.models];
    this.checksFence = options.checkFence;
  }

  async *generate(
    attempt: GenerationAttempt,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    const model = String(attempt.body['model']);
    if (!this.models.some(loaded => loaded.name === model)) {
      throw new ServerFailure(
        DeliveryState.NOT_SENT,
        `model ${model} is not loaded`,
      );
    }
    const exportAbort = new AbortController();
    this.abortByRequestId.set(attempt.requestId, exportAbort);
    const combinedSignal = AbortSignal.any([signal, exportAbort.signal]);
    await this.acquireSlot(attempt.urgency, combinedSignal);
    try {
      if (combinedSignal.aborted) {
        throw new ServerFailure(DeliveryState.SENT, 'cancelled');
      }
      this.counts.generations++;
      await this.prefill(attempt, combinedSignal);
      yield* this.decode(attempt, combinedSignal);
    } finally {
      this.abortByRequestId.delete(attempt.requestId);
      this.releaseSlot();
    }
  }

  async getLoad(): Promise<Result<LoadReport, ServerFailure>> {
    return Result.ok({
      running: this.running,
      waiting: this.queue.length,
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
    const running = this.abortByRequestId.get(requestId);
    if (running === undefined) {
      return Result.err(
        new ServerFailure(
          DeliveryState.SENT,
          `generation ${requestId} is not running on this engine`,
        ),
      );
    }
    running.abort();
    return Result.ok({handle: requestId, tokens: 0});
  }

  async importCache(cache: CacheExport): Promise<Result<void, ServerFailure>> {
    this.importedHandles.add(cache.handle);
    return Result.ok(undefined);
  }

  async sendCommand(
    command: EngineCommand,
  ): Promise<Result<void, ServerFailure>> {
    if (this.checksFence && command.fence < this.highestFence) {
      return Result.err(
        new ServerFailure(
          DeliveryState.SENT,
          `fence ${command.fence} is lower than ${this.highestFence}`,
        ),
      );
    }
    this.highestFence = Math.max(this.highestFence, command.fence);
    this.execute(command);
    return Result.ok(undefined);
  }

  private execute(command: EngineCommand): void {
    const others = this.models.filter(model => model.name !== command.model);
    const current = this.models.find(model => model.name === command.model);
    if (command.kind === EngineCommandKind.UNLOAD_MODEL) {
      this.models = others;
    }
    if (command.kind === EngineCommandKind.LOAD_MODEL) {
      const adapters = current?.adapters ?? [];
      const loaded = {name: command.model, version: command.version, adapters};
      this.models = [...others, loaded];
    }
    if (
      command.kind === EngineCommandKind.LOAD_ADAPTER &&
      current !== undefined
    ) {
      const adapters = [...current.adapters, command.adapter ?? ''];
      this.models = [...others, {...current, adapters}];
    }
  }

  private async prefill(
    attempt: GenerationAttempt,
    signal: AbortSignal,
  ): Promise<void> {
    const prompt = getPromptText(attempt.body);
    const blocks = hashPrefixBlocks(
      String(attempt.body['model']),
      prompt,
      MAX_BLOCKS,
    );
    const totalTokens = estimateTokens(prompt) + attempt.continuation.length;
    let cachedTokens = 0;
    if (this.importedHandles.delete(attempt.requestId)) {
      cachedTokens = totalTokens;
    } else {
      cachedTokens = this.countCachedBlocks(blocks) * BLOCK_TOKENS;
      if (attempt.continuation.length > 0) {
        this.counts.recomputedTokens += totalTokens - cachedTokens;
      }
    }
    this.counts.cachedTokens += cachedTokens;
    this.counts.prefillTokens += totalTokens - cachedTokens;
    this.storeBlocks(blocks);
    // Prompts are prefilled one at a time, so this one starts after those before it.
    const nowMs = this.clock.monotonicMs();
    const prefillMs =
      ((totalTokens - cachedTokens) * 1000 * this.slowdown) /
      this.options.prefillRate;
    this.prefillDoneMs = Math.max(nowMs, this.prefillDoneMs) + prefillMs;
    await this.clock.sleep(this.prefillDoneMs - nowMs, signal);
  }

  private async *decode(
    attempt: GenerationAttempt,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    const expected = getExpectedTokens(attempt.body);
    for (
      let position = attempt.continuation.length;
      position < expected.length;
      position++
    ) {
      await this.clock.sleep(this.options.decodeMs * this.slowdown, signal);
      if (signal.aborted) {
        throw new ServerFailure(
          DeliveryState.SENT,
          'generation stopped: its request was cancelled or its cache exported',
        );
      }
      this.counts.tokens++;
      const last = position === expected.length - 1;
      yield {
        requestId: attempt.requestId,
        position,
        text: expected[position] ?? '',
        ...(last ? {finishReason: 'stop'} : {}),
      };
    }
  }

  private acquireSlot(urgency: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted || this.running < this.options.capacity) {
      this.running++;
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const waiter = {urgency, order: this.nextQueueOrder++, admit: resolve};
      this.queue.push(waiter);
      const cancel = () => {
        if (!this.queue.includes(waiter)) {
          return;
        }
        this.queue = this.queue.filter(other => other !== waiter);
        // `releaseSlot` will be called for this generation too, so count it as running.
        this.running++;
        resolve();
      };
      signal.addEventListener('abort', cancel, {once: true});
    });
  }

  private releaseSlot(): void {
    this.running--;
    if (this.running >= this.options.capacity) {
      return;
    }
    let next = this.queue[0];
    for (const waiter of this.queue) {
      if (next === undefined || waiter.urgency < next.urgency) {
        next = waiter;
      }
    }
    if (next !== undefined) {
      this.queue = this.queue.filter(other => other !== next);
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
 * Returns the tokens that every fake engine generates for a request body.
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
