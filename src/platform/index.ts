/** The platform's services: interfaces, and their clients over HTTP. */
export * from './table_service.js';
export * from './host_list.js';
export {HttpTableService} from './http_table_service.js';
export {HttpHostList} from './http_host_list.js';
export {MemoryTableService} from './memory_table_service.js';
export type {HttpAnswer, HttpFailure, HttpRequest} from './http_request.js';
export {sendJson, toHttpFailure} from './http_request.js';
