#!/usr/bin/env node
/** Program: the command-line tool for operators. */
import {cac} from 'cac';
import {
  AdminClient,
  ChangeOptions,
  CommandFailure,
  Commands,
  ExitCode,
  explainLogs,
  ExplainOptions,
  readHostState,
} from '../cli/index.js';

/** Options that are common to all commands. */
interface CommonOptions {
  readonly server?: string;
  readonly key?: string;
  readonly output: string;
}

const VERSION = '0.1.0';
const cli = cac('sedgefall');
cli.option('--server <url>', 'URL of the operators address of an entry host', {
  default: process.env['SEDGEFALL_SERVER'] ?? 'http://127.0.0.1:8081',
});
cli.option('--key <key>', 'Operator key; defaults to SEDGEFALL_KEY');
cli.option('--output <format>', 'table or json', {default: 'table'});

cli
  .command('apply [...files]', 'Create or change the records in files')
  .option(
    '--if-revision <n>',
    'Only if the record is at this revision; 0 if it is new',
  )
  .option('--force', 'Skip the check that all names in the records are known')
  .action((files: string[], options: CommonOptions & ChangeOptions) =>
    run(options, commands => commands.apply(files, options)),
  );
cli
  .command('get <kind> [name]', 'List records, or show one')
  .option('--schema-version <n>', 'Show the records in this schema version')
  .action(
    (
      kind: string,
      name: string | undefined,
      options: CommonOptions & {schemaVersion?: number},
    ) =>
      run(options, commands => commands.get(kind, name, options.schemaVersion)),
  );
cli
  .command('describe <kind> <name>', 'Show one record in full')
  .action((kind: string, name: string, options: CommonOptions) =>
    run(options, commands => commands.describe(kind, name)),
  );
cli
  .command('delete <kind> <name>', 'Delete a record')
  .option('--if-revision <n>', 'Only if the record is at this revision')
  .action(
    (kind: string, name: string, options: CommonOptions & ChangeOptions) =>
      run(options, commands => commands.remove(kind, name, options)),
  );
cli
  .command('status [part]', 'Show hosts, data_centres or servers')
  .action((part: string | undefined, options: CommonOptions) =>
    run(options, commands => commands.status(part)),
  );
cli
  .command('drain <kind> <name>', 'Send no new work to a host or server')
  .action((kind: string, name: string, options: CommonOptions) =>
    run(options, commands => commands.drain(kind, name, true)),
  );
cli
  .command(
    'undrain <kind> <name>',
    'Send work to a drained host or server again',
  )
  .action((kind: string, name: string, options: CommonOptions) =>
    run(options, commands => commands.drain(kind, name, false)),
  );
cli
  .command(
    'validate [...files]',
    'Check records offline, without contacting a host',
  )
  .action((files: string[], options: CommonOptions) =>
    run(options, commands => commands.validate(files)),
  );
cli
  .command('host-state <address>', 'Show the state of a relay host')
  .action(showHostState);
cli
  .command(
    'explain [...files]',
    'Explain a request, or lost requests, from log files',
  )
  .option('--request <id>', 'Explain this request and show its log lines')
  .option(
    '--by <group>',
    'Group by cause, route, customer, data_centre or window',
    {
      default: 'cause',
    },
  )
  .option('--from <time>', 'Only requests at or after this time')
  .option('--to <time>', 'Only requests up to this time')
  .option('--window <seconds>', 'Length of a window, in seconds', {default: 2})
  .action(explain);
cli
  .command(
    'hash-key <key>',
    'Print the hash of a key, for records and settings',
  )
  .action((key: string, options: CommonOptions) =>
    run(options, async commands => commands.hashKey(key)),
  );
cli.help();
cli.version(VERSION);

try {
  cli.parse(process.argv, {run: false});
  if (cli.matchedCommand === undefined && cli.options['help'] !== true) {
    cli.outputHelp();
    process.exitCode = ExitCode.USAGE;
  }
  await cli.runMatchedCommand();
} catch (error) {
  reportError(error);
}

async function explain(
  files: string[],
  options: Omit<ExplainOptions, 'windowSeconds'> & {window: number},
): Promise<void> {
  try {
    const {window: windowSeconds} = options;
    const text = await explainLogs(files, {...options, windowSeconds});
    process.stdout.write(`${text}\n`);
  } catch (error) {
    reportError(error);
  }
}

async function showHostState(address: string): Promise<void> {
  try {
    const state = await readHostState(address);
    process.stdout.write(`${JSON.stringify(state, undefined, 2)}\n`);
  } catch (error) {
    reportError(error);
  }
}

async function run(
  options: CommonOptions,
  execute: (commands: Commands) => Promise<ExitCode>,
): Promise<void> {
  try {
    const commands = new Commands({
      getClient: () => createClient(options),
      json: readOutput(options.output),
      print: text => process.stdout.write(`${text}\n`),
    });
    process.exitCode = await execute(commands);
  } catch (error) {
    reportError(error);
  }
}

function createClient(options: CommonOptions): AdminClient {
  const key = options.key ?? process.env['SEDGEFALL_KEY'];
  if (key === undefined) {
    throw new CommandFailure(
      ExitCode.USAGE,
      'no operator key given; use --key KEY or set SEDGEFALL_KEY',
    );
  }
  return new AdminClient({url: String(options.server), key: String(key)});
}

function readOutput(output: string): boolean {
  if (output !== 'json' && output !== 'table') {
    throw new CommandFailure(
      ExitCode.USAGE,
      `unknown output format ${output}; use --output json or --output table`,
    );
  }
  return output === 'json';
}

function reportError(error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`sedgefall: ${message}\n`);
  process.exitCode =
    error instanceof CommandFailure ? error.code : ExitCode.USAGE;
}
