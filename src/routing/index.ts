/**
 * Routing: choice of the server for a request, and what is known about servers.
 */
export * from './server_knowledge.js';
export {chooseServer, getUsable} from './choose_server.js';
export type {ChooseServer} from './choose_server.js';
export {findCandidates} from './find_candidates.js';
export type {CandidateSearch} from './find_candidates.js';
export {OutlierDetector} from './outlier_detector.js';
export {drawSample, MAX_UNSAMPLED_SERVERS} from './draw_sample.js';
export {predictFirstToken} from './predict_first_token.js';
export {PrefixIndex} from './prefix_index.js';
export {RetryBudget} from './retry_budget.js';
export {ServerDirectory} from './server_directory.js';
export type {InFlightRequest, ServerClients} from './server_directory.js';
