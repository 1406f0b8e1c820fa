import {Log} from './log.js';

/** Log that discards everything; for tests, simulations and measurements. */
export class SilentLog implements Log {
  info(): void {}
  warn(): void {}
  error(): void {}
}
