import {Random} from './random.js';

/** Randomness of the JavaScript engine; not for secrets. */
export class SystemRandom implements Random {
  next(): number {
    return Math.random();
  }
}
