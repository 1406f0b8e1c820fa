/** Randomness and stable hashing. */
export type {Random} from './random.js';
export {SeededRandom} from './seeded_random.js';
export {SystemRandom} from './system_random.js';
export {hashText, rankByRendezvous} from './hash.js';
