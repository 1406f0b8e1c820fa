/** Clock interface, its system and virtual implementations, and timeout helpers. */
export type {CancelTimer, Clock} from './clock.js';
export {endWithAny} from './end_with_any.js';
export {SilenceWatch} from './silence_watch.js';
export {SystemClock} from './system_clock.js';
export {VirtualClock} from './virtual_clock.js';
