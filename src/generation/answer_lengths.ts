/** Answer length assumed before any was seen, in tokens. */
const FIRST_GUESS = 64;
/** Weight of the newest answer in the mean. */
const NEWEST_WEIGHT = 0.05;

/** Mean length of the answers of each deployment, in tokens. */
export class AnswerLengths {
  private readonly means = new Map<string, number>();

  /** Returns the mean length so far. */
  getExpected(deployment: string): number {
    return this.means.get(deployment) ?? FIRST_GUESS;
  }

  /** Takes in the length of one answer. */
  add(deployment: string, tokens: number): void {
    const mean = this.means.get(deployment);
    const next =
      mean === undefined ? tokens : mean + (tokens - mean) * NEWEST_WEIGHT;
    this.means.set(deployment, next);
  }
}
