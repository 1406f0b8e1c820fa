/** A part of a prompt: its id, and its length in tokens. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/**
 * Model of the prompt parts that a server has cached: the parts that were sent
 * to it. The least recently used part is dropped first, as the engine does.
 */
export class PartCache {
  private readonly parts = new Map<string, number>();
  private tokens = 0;

  /** @param capacity - Tokens that the server's cache holds. */
  constructor(private readonly capacity: number) {}

  /** Counts the tokens of a prompt's leading parts that are cached. */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let cached = 0;
    for (const part of parts) {
      if (!this.parts.has(part.id)) {
        break;
      }
      cached += part.tokens;
    }
    return cached;
  }

  /**
   * Adds the parts of a prompt that was sent to the server and will be cached
   * there.
   */
  add(parts: readonly PromptPart[]): void {
    for (const part of parts) {
      const known = this.parts.get(part.id);
      this.parts.delete(part.id);
      this.parts.set(part.id, part.tokens);
      this.tokens += part.tokens - (known ?? 0);
    }
    for (const [id, tokens] of this.parts) {
      if (this.tokens <= this.capacity) {
        return;
      }
      this.parts.delete(id);
      this.tokens -= tokens;
    }
  }
}
