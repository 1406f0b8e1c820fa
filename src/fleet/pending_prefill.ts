/**
 * Prompt tokens that a server still has to compute for requests of one rank.
 */
export interface RankedTokens {
  /** Rank at the server; 0 is the most urgent. */
  readonly urgency: number;
  readonly tokens: number;
}

/**
 * Prompt tokens that were sent to a server and are not yet computed, by rank. A
 * server computes the most urgent first, so a request does not wait for less
 * urgent ones.
 */
export class PendingPrefill {
  private readonly tokens = new Map<number, number>();

  /** Adds tokens of a rank; a negative number subtracts them. */
  add(urgency: number, tokens: number): void {
    const sum = (this.tokens.get(urgency) ?? 0) + tokens;
    if (sum > 0) {
      this.tokens.set(urgency, sum);
    } else {
      this.tokens.delete(urgency);
    }
  }

  /** Lists the ranks with pending tokens. */
  list(): RankedTokens[] {
    return [...this.tokens].map(([urgency, tokens]) => ({urgency, tokens}));
  }
}

/**
 * Sums the tokens that a server computes before a request: those of the same
 * rank and of more urgent ones.
 * @param pending - Pending tokens by rank.
 * @param urgency - Rank of the request.
 */
export function sumAhead(
  pending: readonly RankedTokens[],
  urgency: number,
): number {
  let sum = 0;
  for (const ranked of pending) {
    sum += ranked.urgency <= urgency ? ranked.tokens : 0;
  }
  return sum;
}
