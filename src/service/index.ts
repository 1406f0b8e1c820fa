/** Plain services: repeatable calls and at-most-once calls. */
export {
  callMessageSchema,
  fromCallMessage,
  readCallOutcome,
  toCallMessage,
} from './call_message.js';
export type {CallMessage} from './call_message.js';
export {getBookFor, AtMostOnceCalls} from './at_most_once_calls.js';
export type {
  AtMostOnceCall,
  AtMostOnceCallsOptions,
  RequestPeer,
} from './at_most_once_calls.js';
export {ServiceDispatcher} from './service_dispatcher.js';
export type {ServiceDispatcherOptions} from './service_dispatcher.js';
