/** Clock interface, its system and virtual implementations, and timeout helpers. */
export type {CancelTimer, Clock} from './clock.js';
export {combineSignals} from './combine_signals.js';
export {InactivityTimeout} from './inactivity_timeout.js';
export {SilenceWatch} from './silence_watch.js';
export {SystemClock} from './system_clock.js';
export {VirtualClock} from './virtual_clock.js';
