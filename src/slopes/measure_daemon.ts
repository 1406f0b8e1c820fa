import {readFile} from 'node:fs/promises';
import {got} from 'got';
import {hashKey} from '../caller/index.js';
import {LogMembers} from '../log/index.js';
import {TrialCaller, TrialPlan, TrialSystem} from '../trial/index.js';

const KEY = 'bench-caller-key';
const BOOKINGS = 400;
const STREAMS = 100;
const OPEN_STREAMS = 1000;
const IDLE_MS = 5000;
/** Time until the books are spread over the hosts, in milliseconds. */
const SETTLE_MS = 15_000;
const TICKS_PER_SECOND = 100;

const PLAN: TrialPlan = {
  hosts: [
    {name: 'tac-entry-1', dataCentre: 'tac-hall'},
    {name: 'tac-entry-2', dataCentre: 'tac-hall'},
  ],
  servers: [
    {
      name: 'tac-model-1',
      dataCentre: 'tac-hall',
      kind: 'engine',
      service: '',
      args: ['--decode-ms', '5', '--capacity', '2000'],
    },
    {
      name: 'tac-bids-1',
      dataCentre: 'tac-hall',
      kind: 'service',
      service: 'bids',
      args: ['--service-ms', '1'],
    },
  ],
};

const CENTRES = ['tac-hall', 'pdx-hall', 'geg-hall', 'bli-hall'];

/** The size of today: four data centres, 8 hosts, 8 engines, 4 services. */
const TODAY: TrialPlan = {
  hosts: CENTRES.flatMap(dataCentre =>
    [1, 2].map(index => ({name: `${dataCentre}-entry-${index}`, dataCentre})),
  ),
  servers: CENTRES.flatMap(dataCentre => [
    ...[1, 2].map(index => ({
      name: `${dataCentre}-model-${index}`,
      dataCentre,
      kind: 'engine' as const,
      service: '',
      args: [],
    })),
    {
      name: `${dataCentre}-bids-1`,
      dataCentre,
      kind: 'service' as const,
      service: 'bids',
      args: [],
    },
  ]),
};

/** Control costs of one host in a system of today's size that serves nothing. */
export async function measureToday(): Promise<LogMembers> {
  const system = new TrialSystem(TODAY);
  try {
    await system.start();
    await applyRecords(system);
    await delay(SETTLE_MS);
    return {...(await measureIdle(system)), bench: 'idle-host-of-8'};
  } finally {
    await system.stop();
  }
}

/** Benches the running daemon over loopback against the fakes called directly. */
export async function measureDaemon(): Promise<LogMembers[]> {
  const system = new TrialSystem(PLAN);
  try {
    await system.start();
    await applyRecords(system);
    return [
      await measureIdle(system),
      ...(await measureBookings(system)),
      ...(await measureFirstTokens(system)),
      await measureThroughput(system),
      await measureOpenStreams(system),
    ];
  } finally {
    await system.stop();
  }
}

async function applyRecords(system: TrialSystem): Promise<void> {
  for (const record of system.listServerRecords()) {
    await system.apply(record);
  }
  const common = {schemaVersion: 2};
  await system.apply({
    ...common,
    kind: 'customer',
    name: 'north-house',
    keyHashes: [hashKey(KEY)],
  });
  await system.apply({
    ...common,
    kind: 'deployment',
    name: 'dossier',
    target: {kind: 'model', model: 'provenance-8b', version: '1'},
    servers: system.servers
      .filter(server => server.plan.kind === 'engine')
      .map(server => server.plan.name),
    latencyTarget: {firstTokenMs: 10_000, betweenTokensMs: 1000},
  });
  await system.apply({
    ...common,
    kind: 'deployment',
    name: 'bids',
    target: {kind: 'service', service: 'bids', repeat: 'never'},
  });
  await delay(3000);
}

/** Control costs of a host that serves nothing. */
async function measureIdle(system: TrialSystem): Promise<LogMembers> {
  const pid = getPid(system);
  const before = await readCpuSeconds(pid);
  await delay(IDLE_MS);
  const used = (await readCpuSeconds(pid)) - before;
  return {
    bench: 'idle-host',
    cpu_percent_of_core: ((used * 100_000) / IDLE_MS).toFixed(2),
    memory_mb: await readMemoryMb(pid),
  };
}

async function measureBookings(system: TrialSystem): Promise<LogMembers[]> {
  const caller = createCaller(system);
  const direct: number[] = [];
  const minted: number[] = [];
  const keyed: number[] = [];
  const service = system.servers[1]?.url ?? '';
  for (let index = 0; index < BOOKINGS; index++) {
    direct.push(
      await time(() => got.post(`${service}/bids`, {json: {lot: index}})),
    );
    minted.push(await time(() => caller.call('bids', '/bids', {lot: index})));
    const headers = {'idempotency-key': `bench-${index}`};
    keyed.push(
      await time(() => caller.call('bids', '/bids', {lot: index}, headers)),
    );
  }
  return [
    formatLatency('booking-minted-key', minted, direct),
    formatLatency('booking-caller-key', keyed, direct),
  ];
}

async function measureFirstTokens(system: TrialSystem): Promise<LogMembers[]> {
  const engine = system.servers[0]?.url ?? '';
  const through: number[] = [];
  const direct: number[] = [];
  const host = system.hosts[0]?.callersUrl ?? '';
  for (let index = 0; index < STREAMS; index++) {
    const prompt = `lot ${index}`;
    direct.push(
      await timeFirstByte(`${engine}/v1/completions`, {
        model: 'provenance-8b',
        prompt,
        max_tokens: 2,
        request_id: `direct-${index}`,
      }),
    );
    through.push(
      await timeFirstByte(`${host}/v1/completions`, {
        model: 'dossier',
        prompt,
        max_tokens: 2,
        stream: true,
      }),
    );
  }
  return [formatLatency('first-token', through, direct)];
}

/** Tokens a second of processor time, with many streams at once. */
async function measureThroughput(system: TrialSystem): Promise<LogMembers> {
  const caller = createCaller(system);
  const pid = getPid(system);
  const before = await readCpuSeconds(pid);
  const startMs = performance.now();
  const results = await Promise.all(
    Array.from({length: 200}, (_unused, index) =>
      caller.stream('dossier', `lot ${index}`, 200),
    ),
  );
  const seconds = (performance.now() - startMs) / 1000;
  const used = (await readCpuSeconds(pid)) - before;
  const tokens = results.reduce((sum, result) => sum + result.tokens, 0);
  return {
    bench: 'throughput',
    tokens_per_s: Math.round(tokens / seconds),
    tokens_per_core_s: Math.round(tokens / Math.max(used, 0.001)),
    requests_per_core_s: Math.round(results.length / Math.max(used, 0.001)),
    complete: results.filter(result => result.complete).length,
  };
}

async function measureOpenStreams(system: TrialSystem): Promise<LogMembers> {
  const caller = createCaller(system);
  const pid = getPid(system);
  const before = await readMemoryMb(pid);
  const streams = Array.from({length: OPEN_STREAMS}, (_unused, index) =>
    caller.stream('dossier', `open ${index}`, 800),
  );
  await delay(2500);
  const during = await readMemoryMb(pid);
  const results = await Promise.all(streams);
  return {
    bench: 'open-streams',
    streams: OPEN_STREAMS,
    memory_before_mb: before,
    memory_mb: during,
    complete: results.filter(result => result.complete).length,
  };
}

function formatLatency(
  bench: string,
  through: readonly number[],
  direct: readonly number[],
): LogMembers {
  return {
    bench,
    runs: through.length,
    direct_p50_ms: percentile(direct, 0.5),
    through_p50_ms: percentile(through, 0.5),
    added_p50_ms: (
      Number(percentile(through, 0.5)) - Number(percentile(direct, 0.5))
    ).toFixed(2),
    added_p99_ms: (
      Number(percentile(through, 0.99)) - Number(percentile(direct, 0.99))
    ).toFixed(2),
  };
}

function percentile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  return (sorted[Math.ceil(sorted.length * share) - 1] ?? 0).toFixed(2);
}

async function time(act: () => Promise<unknown>): Promise<number> {
  const startMs = performance.now();
  await act();
  return performance.now() - startMs;
}

function timeFirstByte(url: string, json: unknown): Promise<number> {
  const startMs = performance.now();
  return new Promise((resolve, reject) => {
    const stream = got.stream.post(url, {
      json,
      headers: {authorization: `Bearer ${KEY}`},
      retry: {limit: 0},
    });
    stream.once('data', () => resolve(performance.now() - startMs));
    stream.once('error', reject);
    stream.resume();
  });
}

function createCaller(system: TrialSystem): TrialCaller {
  return new TrialCaller(system.hosts[0]?.callersUrl ?? '', KEY);
}

function getPid(system: TrialSystem): number {
  return system.hosts[0]?.process.getPid() ?? 0;
}

/** Processor seconds of a process so far, from the kernel's accounts. */
async function readCpuSeconds(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

async function readMemoryMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const match = /VmRSS:\s+(\d+) kB/.exec(status);
  return Math.round(Number(match?.[1] ?? 0) / 1024);
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
