/** Outgoing HTTP requests without retries, and pools of keep-alive connections. */
export type {HttpResponse, HttpFailure, HttpRequest} from './http_request.js';
export {sendJson, toHttpFailure} from './http_request.js';
export {refusesConnections} from './refuses_connections.js';
export {ConnectionPool} from './connection_pool.js';
export type {OpenConnection} from './open_connection.js';
export {ConnectionOutcome, tryConnection} from './try_connection.js';
export {AnswerBody} from './answer_body.js';
export {breakOff} from './break_off.js';
export {discardBody} from './discard_body.js';
export {limitOverhead} from './limit_overhead.js';
export {writeChunk} from './write_chunk.js';
export {parseAddress} from './parse_address.js';
export {getResponseFraming} from './get_response_framing.js';
export {waitForBodyEnd} from './wait_for_body_end.js';
export {whenConnected} from './when_connected.js';
