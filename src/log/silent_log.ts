import {Log} from './log.js';

/** Log that keeps nothing; for tests and proofs. */
export class SilentLog implements Log {
  info(): void {}
  warn(): void {}
  error(): void {}
}
