#!/usr/bin/env node
/** Program: demonstrates a small system on this machine while a server is reclaimed, then exits. */
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {got} from 'got';
import {hashKey} from '../caller/index.js';
import {getExpectedTokens} from '../fakes/index.js';
import {
  getProgramPath,
  OPERATOR_KEY,
  TrialCaller,
  TrialPlan,
  TrialSystem,
} from '../trial/index.js';

const CALLER_KEY = 'quickstart-caller-key';
const STREAMS = 40;
const BOOKINGS = 60;
const TOKENS = 300;
const NOTICE_MS = 3000;
const runFile = promisify(execFile);

const ENGINE_ARGS = ['--decode-ms', '15', '--model', 'provenance-8b@1'];
const PLAN: TrialPlan = {
  hosts: [
    {name: 'tac-entry-1', dataCentre: 'tac-hall'},
    {name: 'pdx-entry-1', dataCentre: 'pdx-hall'},
  ],
  servers: [
    createEngine('tac-model-1', 'tac-hall'),
    createEngine('tac-model-2', 'tac-hall'),
    createEngine('pdx-model-1', 'pdx-hall'),
    createService('tac-bids-1', 'tac-hall'),
    createService('pdx-bids-1', 'pdx-hall'),
  ],
};

/** Results that the callers have received. */
interface Tally {
  streamed: number;
  booked: number;
  lost: number;
}

const system = new TrialSystem(PLAN);
try {
  printStep(
    'starting a fake platform, 5 fake backend servers and 2 entry hosts as processes',
  );
  await system.start();
  await applyRecords();
  const tally: Tally = {streamed: 0, booked: 0, lost: 0};
  printStep(`sending ${STREAMS} streams and ${BOOKINGS} bookings`);
  const requests = [...startStreams(tally), ...startBookings(tally)];
  await delay(600);
  printStep(`the platform reclaims tac-model-1 with ${NOTICE_MS} ms notice`);
  await system.publishNotice('tac-model-1', NOTICE_MS);
  const terminated = delay(NOTICE_MS).then(() =>
    system.servers[0]?.process.terminate('SIGKILL'),
  );
  await Promise.all(requests);
  await terminated;
  await showStatus();
  const duplicateCount = await countDuplicateRuns();
  const answered = tally.streamed + tally.booked;
  process.stdout.write(
    `quickstart answered=${answered} streamed=${tally.streamed} bookings=${tally.booked} doubled=${duplicateCount} lost=${tally.lost}\n`,
  );
  process.exitCode = duplicateCount > 0 || tally.lost > 0 ? 1 : 0;
} finally {
  await system.stop();
}

function createEngine(name: string, dataCentre: string) {
  return {
    name,
    dataCentre,
    kind: 'engine' as const,
    service: '',
    args: ENGINE_ARGS,
  };
}

function createService(name: string, dataCentre: string) {
  return {
    name,
    dataCentre,
    kind: 'service' as const,
    service: 'bids',
    args: [],
  };
}

/** Writes the records to a file and applies it with the command-line tool. */
async function applyRecords(): Promise<void> {
  const records = [
    ...system.listServerRecords(),
    {
      schemaVersion: 2,
      kind: 'customer',
      name: 'north-house',
      keyHashes: [hashKey(CALLER_KEY)],
    },
    {
      schemaVersion: 2,
      kind: 'deployment',
      name: 'dossier',
      target: {kind: 'model', model: 'provenance-8b', version: '1'},
    },
    {
      schemaVersion: 1,
      kind: 'deployment',
      name: 'bids',
      service: 'bids',
      repeat: 'never',
      customers: ['north-house'],
    },
  ];
  const folder = await mkdtemp(join(tmpdir(), 'sedgefall-records-'));
  const file = join(folder, 'records.json');
  await writeFile(file, JSON.stringify(records, undefined, 2));
  printStep(
    'applying servers, a customer and two deployments with sedgefall apply',
  );
  process.stdout.write(await runTool(['apply', file]));
  await rm(folder, {recursive: true});
  await delay(1200);
}

async function showStatus(): Promise<void> {
  printStep('servers as shown by sedgefall status');
  process.stdout.write(await runTool(['status', 'servers']));
}

async function runTool(args: readonly string[]): Promise<string> {
  const server = system.hosts[0]?.operatorsUrl ?? '';
  const {stdout} = await runFile(process.execPath, [
    getProgramPath('sedgefall'),
    ...args,
    '--server',
    server,
    '--key',
    OPERATOR_KEY,
  ]);
  return stdout;
}

function startStreams(tally: Tally): Promise<void>[] {
  return Array.from({length: STREAMS}, async (_unused, index) => {
    await delay(index * 25);
    const caller = getCaller(index);
    const prompt = `Provenance of lot ${index}: a tin robot, boxed, 1956.`;
    const result = await caller.stream('dossier', prompt, TOKENS);
    const expected = getExpectedTokens({prompt, max_tokens: TOKENS}).join('');
    if (result.complete && result.text === expected) {
      tally.streamed++;
    } else {
      tally.lost++;
      printStep(`stream ${index} failed with status ${result.status}`);
    }
  });
}

/** Sends every booking twice with the same key, through both hosts concurrently, like a retry. */
function startBookings(tally: Tally): Promise<void>[] {
  return Array.from({length: BOOKINGS}, async (_unused, index) => {
    await delay(index * 20);
    const headers = {'idempotency-key': `bid-${index}`};
    const body = {lot: index, amount: 100 + index};
    const results = await Promise.all([
      getCaller(index).call('bids', '/bids', body, headers),
      getCaller(index + 1).call('bids', '/bids', body, headers),
    ]);
    if (results.every(result => result.status === 201)) {
      tally.booked++;
    } else {
      tally.lost++;
      printStep(
        `booking ${index} failed: ${JSON.stringify(results.map(r => r.body))}`,
      );
    }
  });
}

function getCaller(index: number): TrialCaller {
  const host = system.hosts[index % system.hosts.length];
  return new TrialCaller(host?.callersUrl ?? '', CALLER_KEY);
}

/** Counts the keys whose booking ran more than once on all services together. */
async function countDuplicateRuns(): Promise<number> {
  const runs = new Map<string, number>();
  for (const server of system.servers) {
    if (server.plan.kind !== 'service') {
      continue;
    }
    const counts = await got(`${server.url}/runs`).json<
      Record<string, number>
    >();
    for (const [key, count] of Object.entries(counts)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  let duplicateCount = 0;
  for (const count of runs.values()) {
    duplicateCount += count > 1 ? 1 : 0;
  }
  return duplicateCount;
}

function printStep(text: string): void {
  process.stdout.write(`quickstart: ${text}\n`);
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
