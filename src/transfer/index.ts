/** Transfer of large rows between hosts: compressed, as differences and in segments. */
export {bulkAbilitySchema, segmentRequestSchema} from './bulk_changes.js';
export type {BulkAbility, BulkChanges} from './bulk_changes.js';
export {BulkTransfer} from './bulk_transfer.js';
export type {BulkTransferOptions} from './bulk_transfer.js';
export {COMPRESSION_LEVEL} from './compression.js';
export type {Compression} from './compression.js';
export {FetchProgress, FetchSource} from './fetch_progress.js';
export {SEGMENT_BYTES} from './limits.js';
