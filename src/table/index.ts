/** The table service: its interface, an HTTP client and an in-memory implementation. */
export * from './table_service.js';
export {HttpTableService} from './http_table_service.js';
export {MemoryTableService} from './memory_table_service.js';
