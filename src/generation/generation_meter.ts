import {GenerationRequest} from './generation.js';

/** Receives each token, for metrics. */
export interface GenerationMeter {
  /**
   * Records a token.
   * @param request - Request the token belongs to.
   * @param gapMs - Time since the previous token of the attempt, or since the start of
   *   the attempt, in milliseconds.
   * @param first - Whether it is the first token of an attempt.
   */
  addToken(request: GenerationRequest, gapMs: number, first: boolean): void;
}
