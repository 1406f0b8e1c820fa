/** Entry host that relays requests: its assembly, start and stop. */
export {bindRelayHost} from './bind_relay_host.js';
export type {CallerListener} from './caller_listener.js';
export {createPeerKey} from './create_peer_key.js';
export {ShutdownState} from './shutdown_state.js';
export * from './identifiers.js';
export {REPLICA} from './replica_names.js';
export {RelayHost} from './relay_host.js';
export type {RelayHostOptions, StatusListener, Task} from './relay_host.js';
export type {RelayHostSettings} from './relay_host_settings.js';
