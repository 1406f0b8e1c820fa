/** Random numbers and stable hashing. */
export type {Random} from './random.js';
export {SeededRandom} from './seeded_random.js';
export {SystemRandom} from './system_random.js';
export {findByRendezvous, hashText, rankByRendezvous} from './hash.js';
