/**
 * At which version of a server's software a stream began. What two versions write does not fit
 * together, so a stream goes on only at that one: within its answer, and when its caller takes
 * it up at another host.
 */
export {OriginExchange} from './origin_exchange.js';
export type {OriginExchangeOptions} from './origin_exchange.js';
export {
  originQuestionSchema,
  originReplySchema,
  originsSchema,
} from './origin_messages.js';
export type {OriginQuestion, OriginReply, Origins} from './origin_messages.js';
export {OriginSource} from './stream_origin.js';
export type {FoundOrigin, StreamOrigin} from './stream_origin.js';
export {StreamLife} from './stream_life.js';
export {StreamOrigins} from './stream_origins.js';
export {StreamVersions} from './stream_versions.js';
export type {StreamVersionsOptions} from './stream_versions.js';
export {VersionHistory} from './version_history.js';
export type {KnownVersions, VersionHistoryOptions} from './version_history.js';
export {VersionRecord} from './version_record.js';
export type {VersionRecordOptions} from './version_record.js';
