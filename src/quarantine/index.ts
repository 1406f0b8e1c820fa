/** Requests that end the servers that run them: how they are known and kept away. */
export {fingerprintRequest} from './fingerprint_request.js';
export type {RequestContent} from './fingerprint_request.js';
export {Quarantine} from './quarantine.js';
export type {QuarantineOptions, SuspectPage} from './quarantine.js';
export {QuarantineRows} from './quarantine_rows.js';
export type {QuarantineRowsOptions} from './quarantine_rows.js';
export {suspectNewsSchema} from './suspect.js';
export type {SuspectNews, ToldEnd, ToldSuspect} from './suspect.js';
