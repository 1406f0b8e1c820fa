import {BodyMemory, splitMemory} from '../../../src/http/index.js';
import {Clock} from '../../../src/time/index.js';

const MEMORY_BYTES = 350_000_000;

/** Creates the memory for bodies of a host of ordinary size. */
export function createBodyMemory(clock: Clock): BodyMemory {
  return new BodyMemory(clock, splitMemory(MEMORY_BYTES));
}
