import {
  BodyMemory,
  ConnectionLimits,
  splitMemory,
} from '../../../src/http/index.js';
import {Clock} from '../../../src/time/index.js';

const MEMORY_BYTES = 350_000_000;

/** Limits of connections of a host of ordinary size. */
export const CONNECTION_LIMITS: ConnectionLimits = {
  count: 2000,
  bytes: splitMemory(MEMORY_BYTES).connectionBytes,
};

/** Creates the memory for bodies of a host of ordinary size. */
export function createBodyMemory(clock: Clock): BodyMemory {
  return new BodyMemory(clock, splitMemory(MEMORY_BYTES));
}
