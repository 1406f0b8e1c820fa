import {readFile} from 'node:fs/promises';
import {got} from 'got';
import {hashKey} from '../caller/index.js';
import {LogFields} from '../log/index.js';
import {TrialCaller, TrialPlan, TrialSystem} from '../trial/index.js';

const KEY = 'bench-caller-key';
const BOOKINGS = 400;
const STREAMS = 100;
const OPEN_STREAMS = 1000;
const IDLE_MS = 5000;
/** Time for the books to be distributed over the hosts, in milliseconds. */
const SETTLE_MS = 15_000;
/** Unit of the CPU times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;

const BENCH_PLAN: TrialPlan = {
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

const DATA_CENTRES = ['tac-hall', 'pdx-hall', 'geg-hall', 'bli-hall'];

/** A system of the current size: 4 data centres, 8 hosts, 8 engines, 4 services. */
const CURRENT_SIZE_PLAN: TrialPlan = {
  hosts: DATA_CENTRES.flatMap(dataCentre =>
    [1, 2].map(index => ({name: `${dataCentre}-entry-${index}`, dataCentre})),
  ),
  servers: DATA_CENTRES.flatMap(dataCentre => [
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

/** Measures CPU time and memory of one host in an idle system of the current size. */
export async function measureIdleAtCurrentSize(): Promise<LogFields> {
  const system = new TrialSystem(CURRENT_SIZE_PLAN);
  try {
    await system.start();
    await applyRecords(system);
    await delay(SETTLE_MS);
    return {...(await measureIdle(system)), bench: 'idle-host-of-8'};
  } finally {
    await system.stop();
  }
}

/** Benchmarks the daemon over loopback and compares it with direct calls to the fakes. */
export async function measureDaemon(): Promise<LogFields[]> {
  const system = new TrialSystem(BENCH_PLAN);
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

/** Measures CPU time and memory of a host that serves no requests. */
async function measureIdle(system: TrialSystem): Promise<LogFields> {
  const pid = getPid(system);
  const cpuSecondsBefore = await readCpuSeconds(pid);
  await delay(IDLE_MS);
  const cpuSeconds = (await readCpuSeconds(pid)) - cpuSecondsBefore;
  return {
    bench: 'idle-host',
    cpu_percent_of_core: ((cpuSeconds * 100_000) / IDLE_MS).toFixed(2),
    memory_mb: await readMemoryMb(pid),
  };
}

async function measureBookings(system: TrialSystem): Promise<LogFields[]> {
  const caller = createCaller(system);
  const direct: number[] = [];
  const minted: number[] = [];
  const keyed: number[] = [];
  const service = system.servers[1]?.url ?? '';
  for (let index = 0; index < BOOKINGS; index++) {
    direct.push(
      await measureDurationMs(() =>
        got.post(`${service}/bids`, {json: {lot: index}}),
      ),
    );
    minted.push(
      await measureDurationMs(() => caller.call('bids', '/bids', {lot: index})),
    );
    const headers = {'idempotency-key': `bench-${index}`};
    keyed.push(
      await measureDurationMs(() =>
        caller.call('bids', '/bids', {lot: index}, headers),
      ),
    );
  }
  return [
    formatLatency('booking-minted-key', minted, direct),
    formatLatency('booking-caller-key', keyed, direct),
  ];
}

async function measureFirstTokens(system: TrialSystem): Promise<LogFields[]> {
  const engine = system.servers[0]?.url ?? '';
  const viaHost: number[] = [];
  const direct: number[] = [];
  const host = system.hosts[0]?.callersUrl ?? '';
  for (let index = 0; index < STREAMS; index++) {
    const prompt = `lot ${index}`;
    direct.push(
      await measureFirstByteMs(`${engine}/v1/completions`, {
        model: 'provenance-8b',
        prompt,
        max_tokens: 2,
        request_id: `direct-${index}`,
      }),
    );
    viaHost.push(
      await measureFirstByteMs(`${host}/v1/completions`, {
        model: 'dossier',
        prompt,
        max_tokens: 2,
        stream: true,
      }),
    );
  }
  return [formatLatency('first-token', viaHost, direct)];
}

/** Measures tokens per second, and per second of CPU time, of 200 concurrent streams. */
async function measureThroughput(system: TrialSystem): Promise<LogFields> {
  const caller = createCaller(system);
  const pid = getPid(system);
  const cpuSecondsBefore = await readCpuSeconds(pid);
  const startMs = performance.now();
  const results = await Promise.all(
    Array.from({length: 200}, (_unused, index) =>
      caller.stream('dossier', `lot ${index}`, 200),
    ),
  );
  const seconds = (performance.now() - startMs) / 1000;
  const cpuSeconds = (await readCpuSeconds(pid)) - cpuSecondsBefore;
  const tokens = results.reduce((sum, result) => sum + result.tokens, 0);
  return {
    bench: 'throughput',
    tokens_per_s: Math.round(tokens / seconds),
    tokens_per_core_s: Math.round(tokens / Math.max(cpuSeconds, 0.001)),
    requests_per_core_s: Math.round(
      results.length / Math.max(cpuSeconds, 0.001),
    ),
    complete: results.filter(result => result.complete).length,
  };
}

async function measureOpenStreams(system: TrialSystem): Promise<LogFields> {
  const caller = createCaller(system);
  const pid = getPid(system);
  const memoryBeforeMb = await readMemoryMb(pid);
  const streams = Array.from({length: OPEN_STREAMS}, (_unused, index) =>
    caller.stream('dossier', `open ${index}`, 800),
  );
  await delay(2500);
  const memoryDuringMb = await readMemoryMb(pid);
  const results = await Promise.all(streams);
  return {
    bench: 'open-streams',
    streams: OPEN_STREAMS,
    memory_before_mb: memoryBeforeMb,
    memory_mb: memoryDuringMb,
    complete: results.filter(result => result.complete).length,
  };
}

function formatLatency(
  bench: string,
  viaHost: readonly number[],
  direct: readonly number[],
): LogFields {
  return {
    bench,
    runs: viaHost.length,
    direct_p50_ms: percentile(direct, 0.5),
    through_p50_ms: percentile(viaHost, 0.5),
    added_p50_ms: (
      Number(percentile(viaHost, 0.5)) - Number(percentile(direct, 0.5))
    ).toFixed(2),
    added_p99_ms: (
      Number(percentile(viaHost, 0.99)) - Number(percentile(direct, 0.99))
    ).toFixed(2),
  };
}

function percentile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  return (sorted[Math.ceil(sorted.length * share) - 1] ?? 0).toFixed(2);
}

async function measureDurationMs(
  operation: () => Promise<unknown>,
): Promise<number> {
  const startMs = performance.now();
  await operation();
  return performance.now() - startMs;
}

function measureFirstByteMs(url: string, json: unknown): Promise<number> {
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

/** Returns the CPU time that a process has used, in seconds, from `/proc`. */
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
