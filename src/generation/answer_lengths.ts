/** Answer length assumed before any answer was observed, in tokens. */
const INITIAL_ESTIMATE_TOKENS = 64;
/** Weight of the latest answer in the moving average. */
const LATEST_WEIGHT = 0.05;

/** Moving average of the answer length of each deployment, in tokens. */
export class AnswerLengths {
  private readonly means = new Map<string, number>();

  /** Returns the expected answer length of a deployment, in tokens. */
  getExpected(deployment: string): number {
    return this.means.get(deployment) ?? INITIAL_ESTIMATE_TOKENS;
  }

  /** Adds the length of one answer. */
  add(deployment: string, tokens: number): void {
    const mean = this.means.get(deployment);
    const next =
      mean === undefined ? tokens : mean + (tokens - mean) * LATEST_WEIGHT;
    this.means.set(deployment, next);
  }
}
