/** Commands of the command-line tool for operators. */
export {AdminClient} from './admin_client.js';
export {Commands} from './commands.js';
export type {ChangeOptions, CommandContext} from './commands.js';
export {CommandFailure, ExitCode} from './exit_code.js';
export {explainLogs} from './explain_logs.js';
export type {ExplainOptions} from './explain_logs.js';
export {formatTable} from './format_table.js';
export {readHostState} from './read_host_state.js';
