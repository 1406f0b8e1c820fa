/** Configuration records: schema versions, storage, and the revision in force. */
export * from './deployment.js';
export type {Customer} from './customer.js';
export * from './server.js';
export * from './stored_record.js';
export {
  CURRENT_SCHEMA_VERSION,
  convertRecord,
  parseRecord,
  SCHEMA_VERSIONS,
} from './parse_record.js';
export type {ConfigurationView} from './configuration_view.js';
export {createView} from './configuration_view.js';
export {ConfigurationStore} from './configuration_store.js';
export {ChangeFailureKind, ConfigurationTable} from './configuration_table.js';
export type {
  ChangeFailure,
  ConfigurationChange,
} from './configuration_table.js';
export {findUnknownReferences} from './check_references.js';
