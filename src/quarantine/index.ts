/** Quarantine: detects and blocks requests that terminate the servers that run them. */
export {TerminatedServers} from './terminated_servers.js';
export type {CheckTermination} from './terminated_servers.js';
export {fingerprintRequest} from './fingerprint_request.js';
export type {RequestContent} from './fingerprint_request.js';
export {Quarantine} from './quarantine.js';
export type {QuarantineOptions, SuspectPage} from './quarantine.js';
export {QuarantineRows} from './quarantine_rows.js';
export type {QuarantineRowsOptions} from './quarantine_rows.js';
export {createSuspectMessages} from './suspect_messages.js';
export {suspectUpdatesSchema} from './suspect.js';
export type {
  SuspectUpdates,
  ReportedTermination,
  ReportedSuspect,
} from './suspect.js';
export {nameTermination} from './termination_name.js';
export {SenderRuns} from './sender_runs.js';
export type {Sender} from './sender_runs.js';
export {WatchedParts} from './watched_parts.js';
export {WatchedSender} from './watched_sender.js';
export type {WatchedSenderOptions} from './watched_sender.js';
export {WatchedContent} from './watched_content.js';
export type {DisconnectedServer, WatchOptions} from './watched_content.js';
