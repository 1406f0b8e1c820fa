/** When an answer of a server is complete. */
export {Framing, getFraming} from './framing.js';
export type {FramedHead} from './framing.js';
