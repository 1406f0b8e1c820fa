import {Random} from './random.js';

const INCREMENT = 0x6d2b79f5;
const UINT32_RANGE = 0x100000000;

/** Deterministic pseudo-random number generator (mulberry32, 32-bit state). */
export class SeededRandom implements Random {
  private state: number;

  /** @param seed - Any integer; equal seeds give equal sequences. */
  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  next(): number {
    this.state = (this.state + INCREMENT) >>> 0;
    let mixed = this.state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  }
}
