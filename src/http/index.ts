/** Outgoing HTTP requests without retries, and pools of keep-alive connections. */
export type {HttpAnswer, HttpFailure, HttpRequest} from './http_request.js';
export {sendJson, toHttpFailure} from './http_request.js';
export {refusesChannels} from './refuses_channels.js';
export {ChannelPool} from './channel_pool.js';
