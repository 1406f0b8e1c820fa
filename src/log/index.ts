/** Logging: one line of key=value pairs per event. */
export type {Log, LogFields, LogValue} from './log.js';
export {ConsolaLog} from './consola_log.js';
export {SilentLog} from './silent_log.js';
export {formatLine} from './format_line.js';
export {QueuedOutput} from './queued_output.js';
export type {WriteText} from './queued_output.js';
export {LimitedLines} from './limited_lines.js';
export {FirstOccurrences} from './first_occurrences.js';
