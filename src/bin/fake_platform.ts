#!/usr/bin/env node
/** Program: runs the fake platform, for trials on one machine. */
import {cac} from 'cac';
import {FakePlatform, serveApp} from '../fakes/index.js';
import {SystemClock} from '../time/index.js';

const cli = cac('fake-platform');
cli
  .command(
    '',
    'Serve a table, an object store, a host list and a cloud API on loopback',
  )
  .option('--port <port>', 'Port to listen on', {default: 7400})
  .action(async (options: {port: number}) => {
    const platform = new FakePlatform(new SystemClock());
    const served = await serveApp(platform.createApp(), Number(options.port));
    process.stdout.write(`ready port=${served.port}\n`);
    process.on('SIGTERM', () => void served.stop().then(() => process.exit(0)));
  });
cli.help();
cli.parse();
