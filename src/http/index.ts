/** HTTP towards the outside: one exchange at a time, retries left to callers. */
export type {HttpAnswer, HttpFailure, HttpRequest} from './http_request.js';
export {sendJson, toHttpFailure} from './http_request.js';
export {refusesChannels} from './refuses_channels.js';
export {ChannelPool} from './channel_pool.js';
