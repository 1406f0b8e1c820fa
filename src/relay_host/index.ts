/** The relaying entry host: its parts put together, started and stopped. */
export {bindRelayHost} from './bind_relay_host.js';
export type {Entrance} from './entrance.js';
export {HostState} from './host_state.js';
export * from './identifiers.js';
export {REPLICA} from './replica_names.js';
export {RelayHost} from './relay_host.js';
export type {RelayHostOptions, StatusListener, Task} from './relay_host.js';
export type {RelayHostSettings} from './relay_host_settings.js';
