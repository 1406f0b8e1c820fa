/** Time: the clock interface, the machine's clock and a virtual one. */
export type {CancelTimer, Clock} from './clock.js';
export {endWithAny} from './end_with_any.js';
export {SilenceWatch} from './silence_watch.js';
export {SystemClock} from './system_clock.js';
export {VirtualClock} from './virtual_clock.js';
