/** Forwarding of requests between entry hosts, where one does not reach the servers. */
export {ForwardClient} from './forward_client.js';
export type {ForwardClientOptions} from './forward_client.js';
export {ForwardListener} from './forward_listener.js';
export type {ForwardListenerOptions} from './forward_listener.js';
export {ForwardTargets} from './forward_targets.js';
export type {ForwardTarget} from './forward_targets.js';
