#!/usr/bin/env node
/** Program: runs a fake backend server, for trials on one machine. */
import {cac} from 'cac';
import {Express} from 'express';
import {
  FakeEngine,
  FakeEngineApp,
  FakeService,
  FakeServiceApp,
  serveApp,
} from '../fakes/index.js';
import {Clock, SystemClock} from '../time/index.js';

/** Command-line options. */
interface Options {
  readonly port: number;
  readonly name: string;
  readonly kind: 'engine' | 'service';
  readonly model: string;
  readonly decodeMs: number;
  readonly prefillRate: number;
  readonly capacity: number;
  readonly serviceMs: number;
  readonly deduplicates: boolean;
  readonly lookups: boolean;
}

const cli = cac('fake-backend');
cli
  .command('', 'Serve a fake model engine or plain service on loopback')
  .option('--port <port>', 'Port to listen on', {default: 0})
  .option('--name <name>', 'Name of the server', {default: 'server'})
  .option('--kind <kind>', 'engine or service', {default: 'engine'})
  .option('--model <model>', 'Model loaded initially, as name@version', {
    default: 'provenance-8b@1',
  })
  .option('--decode-ms <ms>', 'Milliseconds between tokens', {default: 10})
  .option('--prefill-rate <rate>', 'Prompt tokens per second', {default: 8000})
  .option('--capacity <n>', 'Number of generations decoded concurrently', {
    default: 32,
  })
  .option('--service-ms <ms>', 'Milliseconds per service call', {default: 5})
  .option('--deduplicates', 'Return the first answer for a repeated key')
  .option('--lookups', 'Answer GET /outcomes/KEY')
  .action(async (options: Options) => {
    const clock = new SystemClock();
    const app =
      options.kind === 'service'
        ? createServiceApp(options, clock)
        : createEngineApp(options, clock);
    const served = await serveApp(app, Number(options.port));
    process.stdout.write(`ready port=${served.port}\n`);
    process.on('SIGTERM', () => void served.stop().then(() => process.exit(0)));
  });
cli.help();
cli.parse();

function createServiceApp(options: Options, clock: Clock): Express {
  const service = new FakeService(
    {
      serviceMs: Number(options.serviceMs),
      deduplicates: Boolean(options.deduplicates),
      answersLookups: Boolean(options.lookups),
    },
    clock,
  );
  return new FakeServiceApp(service, clock).createApp();
}

function createEngineApp(options: Options, clock: Clock): Express {
  const [name = '', version = '1'] = options.model.split('@');
  const engine = new FakeEngine(
    {
      name: options.name,
      capacity: Number(options.capacity),
      prefillRate: Number(options.prefillRate),
      decodeMs: Number(options.decodeMs),
      cacheBlocks: 4096,
      models: [{name, version, adapters: []}],
      checkFence: true,
    },
    clock,
  );
  return new FakeEngineApp(engine, clock).createApp();
}
