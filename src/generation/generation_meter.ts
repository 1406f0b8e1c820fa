import {GenerationRequest} from './generation.js';

/** Told of each token, for metrics. */
export interface GenerationMeter {
  /**
   * @param request - Request the token belongs to.
   * @param gapMs - Time since the attempt began or since the token before.
   * @param first - Whether it is the first token of an attempt.
   */
  addToken(request: GenerationRequest, gapMs: number, first: boolean): void;
}
