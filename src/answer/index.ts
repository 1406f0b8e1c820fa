/**
 * When an answer of a server is complete. Each framing, end and way is judged here: the
 * host that reads an answer from a server decides, and all others follow its framing.
 */
export {checkContinuation} from './check_continuation.js';
export {checkBodyEnd, checkStreamEnd} from './check_end.js';
export type {BodyEnd, StreamEnd} from './check_end.js';
export {EventSplitter} from './event_splitter.js';
export type {SplitEvents} from './event_splitter.js';
export {Framing, getFraming} from './framing.js';
export type {FramedHead} from './framing.js';
export {IncompleteAnswer, IncompleteReason} from './incomplete_answer.js';
