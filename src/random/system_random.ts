import {Random} from './random.js';

/** Random numbers of the JavaScript engine (`Math.random`); not for secrets. */
export class SystemRandom implements Random {
  next(): number {
    return Math.random();
  }
}
