/** Quarantine: detects and blocks requests that terminate the servers that run them. */
export {EndedServers} from './ended_servers.js';
export type {LookForEnd} from './ended_servers.js';
export {fingerprintRequest} from './fingerprint_request.js';
export type {RequestContent} from './fingerprint_request.js';
export {Quarantine} from './quarantine.js';
export type {QuarantineOptions, SuspectPage} from './quarantine.js';
export {QuarantineRows} from './quarantine_rows.js';
export type {QuarantineRowsOptions} from './quarantine_rows.js';
export {createSuspectWords} from './suspect_words.js';
export {suspectNewsSchema} from './suspect.js';
export type {
  SuspectUpdates,
  ReportedTermination,
  ReportedSuspect,
} from './suspect.js';
export {nameServerEnd} from './server_end_name.js';
export {SenderRuns} from './sender_runs.js';
export type {Sender} from './sender_runs.js';
export {WatchedSender} from './watched_sender.js';
export type {WatchedSenderOptions} from './watched_sender.js';
export {WatchedContent} from './watched_content.js';
export type {DisconnectedServer, WatchOptions} from './watched_content.js';
