/** Fleet: backend servers that register themselves, and their load. */
export * from './fleet_server.js';
export {Fleet} from './fleet.js';
export type {FleetOptions} from './fleet.js';
export type {KnowledgeQuery} from './knowledge_query.js';
export {createLeavingMessages} from './leaving_messages.js';
export {LeavingServers} from './leaving_servers.js';
export type {LeavingPage} from './leaving_servers.js';
export {leavingUpdatesSchema} from './leaving_updates.js';
export {PREFILL_TOKENS_PER_MS} from './peer_work.js';
export type {HostLoad, ServerLoad} from './peer_work.js';
export {PartCache} from './part_cache.js';
export {PartUpdates} from './part_updates.js';
export type {SentPart} from './part_updates.js';
export type {RankedTokens} from './pending_prefill.js';
export type {PromptPart} from './part_cache.js';
export {RequestOutcome} from './tracked_server.js';
export type {TrackedRequest} from './tracked_server.js';
