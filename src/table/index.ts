/** The table service: its interface, an HTTP client and an in-memory implementation. */
export * from './table_service.js';
export {RestorationWatch} from './restoration_watch.js';
export {
  createVersion,
  getVersionEra,
  getVersionNumber,
  MAX_ERA,
} from './table_version.js';
export {HttpTableService} from './http_table_service.js';
export {MemoryTableService} from './memory_table_service.js';
export type {TableCopy} from './memory_table_service.js';
