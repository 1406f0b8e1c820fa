#!/usr/bin/env node
/** Program: runs the daemon of an entry host. */
import 'reflect-metadata/lite';
import {readFile} from 'node:fs/promises';
import {cac} from 'cac';
import {HttpModelEngine, HttpPlainService} from '../backend/index.js';
import {
  CLIENTS,
  CLOCK,
  createContainer,
  createSelf,
  Daemon,
  HOST_LIST,
  LOG,
  RANDOM,
  SELF,
  SETTINGS,
  TABLE,
} from '../daemon/index.js';
import {ConsolaLog} from '../log/index.js';
import {HttpHostList} from '../host_list/index.js';
import {HttpTableService} from '../table/index.js';
import {SystemRandom} from '../random/index.js';
import {
  formatExampleSettings,
  parseSettings,
  Settings,
} from '../settings/index.js';
import {SystemClock} from '../time/index.js';

/** Exit code when the settings are missing, unreadable or invalid. */
const EXIT_SETTINGS = 2;
/** Exit code when the daemon cannot start. */
const EXIT_START = 3;

/** Command-line options. */
interface Options {
  readonly settings?: string;
  readonly checkSettings?: boolean;
  readonly exampleSettings?: boolean;
}

const cli = cac('sedgefalld');
cli
  .command('', 'Run an entry host')
  .option('--settings <file>', 'Settings file (TOML)')
  .option('--check-settings', 'Check the settings file and exit')
  .option('--example-settings', 'Print an example settings file and exit')
  .action(run);
cli.help();
cli.parse();

async function run(options: Options): Promise<void> {
  if (options.exampleSettings === true) {
    process.stdout.write(formatExampleSettings());
    return;
  }
  const settings = await readSettings(options.settings);
  if (options.checkSettings === true) {
    process.stdout.write(`${options.settings}: valid\n`);
    return;
  }
  await runDaemon(settings);
}

async function readSettings(file: string | undefined): Promise<Settings> {
  if (file === undefined) {
    return exitWithError(EXIT_SETTINGS, [
      'no settings file given; use --settings FILE, or see --help',
    ]);
  }
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch {
    return exitWithError(EXIT_SETTINGS, [
      `${file}: cannot be read; check the path and its permissions`,
    ]);
  }
  const parsed = parseSettings(text);
  return parsed.isOk
    ? parsed.value
    : exitWithError(
        EXIT_SETTINGS,
        parsed.error.map(mistake => `${file}: ${mistake}`),
      );
}

function exitWithError(code: number, lines: readonly string[]): never {
  for (const line of lines) {
    process.stderr.write(`sedgefalld: ${line}\n`);
  }
  process.exit(code);
}

async function runDaemon(settings: Settings): Promise<void> {
  const clock = new SystemClock();
  const self = createSelf(settings, clock.now());
  const log = new ConsolaLog(clock, {host: self.host});
  const {platform} = settings;
  const container = createContainer();
  container.bind(CLOCK).toConstantValue(clock);
  container.bind(LOG).toConstantValue(log);
  container.bind(RANDOM).toConstantValue(new SystemRandom());
  container.bind(SETTINGS).toConstantValue(settings);
  container.bind(SELF).toConstantValue(self);
  container
    .bind(TABLE)
    .toConstantValue(
      new HttpTableService(platform.table_url, platform.timeout_ms),
    );
  container
    .bind(HOST_LIST)
    .toConstantValue(new HttpHostList(platform.hosts_url, platform.timeout_ms));
  container.bind(CLIENTS).toConstantValue({
    createEngine: server => new HttpModelEngine(`http://${server.address}`),
    createService: server => new HttpPlainService(`http://${server.address}`),
  });
  const daemon = container.get(Daemon);
  try {
    await daemon.start();
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    exitWithError(EXIT_START, [
      `cannot start: ${detail}; check the addresses of callers, operators and peers in the settings`,
    ]);
  }
  process.on('SIGTERM', () => void daemon.stop(settings.drain.grace_ms));
  process.on('SIGINT', () => void daemon.stop(settings.drain.grace_ms));
  await daemon.waitForStop();
  process.exit(0);
}
