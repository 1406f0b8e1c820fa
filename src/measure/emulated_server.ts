import {PartMemory, PromptPart} from '../fleet/index.js';
import {Clock} from '../time/index.js';

/** What an emulated server does, from the users' sheets. */
export const SERVER_TRAITS = {
  /** Requests that run at once. */
  slots: 64,
  /** Tokens of running requests and cached parts together. */
  cacheTokens: 796_656,
  prefillPerMs: 101,
  /** Time of a decoding step, in milliseconds, and what each stream adds. */
  stepMs: 2.97,
  stepPerStreamMs: 0.03,
  /** Share of the time that decoding leaves to prompts. */
  prefillShare: 0.8,
} as const;

/** What a run came to at its server. */
export interface EmulatedRun {
  /** Shared parts that this server had to compute. */
  readonly sharedParts: readonly PromptPart[];
  readonly computedTokens: number;
}

/**
 * A batching engine: prompts are computed one after the other beside the streams
 * that run, cached parts are not computed again, the least recently used yield.
 */
export class EmulatedServer {
  private readonly memory = new PartMemory(SERVER_TRAITS.cacheTokens);
  private prefillEndMs = 0;
  private running = 0;

  constructor(
    readonly id: string,
    private readonly clock: Clock,
  ) {}

  /**
   * Computes a prompt; resolves with its first token.
   * @param parts - Parts of the prompt; the last is the request's own.
   */
  async prefill(parts: readonly PromptPart[]): Promise<EmulatedRun> {
    const cached = this.memory.countCachedTokens(parts);
    const sharedParts = parts
      .slice(0, -1)
      .filter((_part, index) => sumTokens(parts.slice(0, index + 1)) > cached);
    const computedTokens = sumTokens(parts) - cached;
    this.memory.add(parts);
    const nowMs = this.clock.monotonicMs();
    const {prefillPerMs, prefillShare} = SERVER_TRAITS;
    const startMs = Math.max(nowMs, this.prefillEndMs);
    this.prefillEndMs = startMs + computedTokens / prefillPerMs / prefillShare;
    await this.clock.sleep(this.prefillEndMs - nowMs);
    return {computedTokens, sharedParts};
  }

  /** Generates an answer; resolves with its last token. */
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
