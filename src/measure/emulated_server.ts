import {PartCache, PromptPart} from '../fleet/index.js';
import {Clock} from '../time/index.js';

/** Characteristics of a server, from the users' deployment descriptions. */
export const SERVER_TRAITS = {
  /** Maximum number of concurrent requests. */
  slots: 64,
  /** Cache capacity, in tokens of running requests and cached parts together. */
  cacheTokens: 796_656,
  prefillTokensPerMs: 101,
  /** Base time of a decoding step and the time added by each stream, in ms. */
  stepMs: 2.97,
  stepPerStreamMs: 0.03,
  /** Share of the time that is left for prefill beside decoding. */
  prefillShare: 0.8,
} as const;

/** Prefill work of one request at its server. */
export interface EmulatedRun {
  /** Shared parts that were not cached, so this server had to compute them. */
  readonly sharedParts: readonly PromptPart[];
  readonly computedTokens: number;
}

/**
 * Emulates a batching engine. Prompts are computed one after the other while
 * streams are decoded; cached parts are not computed again, and the least
 * recently used parts are evicted.
 */
export class EmulatedServer {
  private readonly memory = new PartCache(SERVER_TRAITS.cacheTokens);
  private prefillEndMs = 0;
  private running = 0;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
  ) {}

  /**
   * Computes a prompt; resolves when its first token is ready.
   * @param parts - Parts of the prompt; the last is not shared with other requests.
   */
  async prefill(parts: readonly PromptPart[]): Promise<EmulatedRun> {
    const cached = this.memory.countCachedTokens(parts);
    const sharedParts = parts
      .slice(0, -1)
      .filter((_part, index) => sumTokens(parts.slice(0, index + 1)) > cached);
    const computedTokens = sumTokens(parts) - cached;
    this.memory.add(parts);
    const nowMs = this.clock.monotonicMs();
    const {prefillTokensPerMs, prefillShare} = SERVER_TRAITS;
    const startMs = Math.max(nowMs, this.prefillEndMs);
    this.prefillEndMs =
      startMs + computedTokens / prefillTokensPerMs / prefillShare;
    await this.clock.sleep(this.prefillEndMs - nowMs);
    return {computedTokens, sharedParts};
  }

  /** Decodes an answer of the given length; resolves when its last token is ready. */
  async decode(tokens: number): Promise<void> {
    this.running++;
    const {stepMs, stepPerStreamMs} = SERVER_TRAITS;
    await this.clock.sleep(tokens * (stepMs + stepPerStreamMs * this.running));
    this.running--;
  }
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}
