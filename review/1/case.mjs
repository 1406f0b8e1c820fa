// A planned stop of one host while requesters use their kept channels again at once.
import {Channel, formatRequest} from '../lib/channel.mjs';
import {PlainServer} from '../lib/plain_server.mjs';
import {System} from '../lib/system.mjs';
import {wait} from '../lib/net.mjs';
import {runCase} from '../lib/run_case.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CHANNELS = Number(process.env.CHANNELS ?? 40);
const BEFORE_MS = 3000;
const GRACE_MS = 8000;
const AFTER_MS = 11_000;
const system = new System(import.meta.dirname);
const servers = ['pinamar', 'carilo', 'villa-gesell', 'ostende'].map(
  (zone, index) =>
    new PlainServer(
      `i-${index}a7`,
      zone,
      system,
      () => 30 + 60 * Math.random(),
    ),
);
const outcomes = [];
let isStopped = false;
let nextId = 1;
let stopMs = Infinity;

const config = {
  routes: [
    {
      name: 'alta-reserva',
      host: 'desk.example',
      prefix: '/puxa403/',
      kind: 'non_idempotent',
      timeout_ms: 1500,
      target_latency_ms: 300,
      priority: 2,
      service: 'mostrador',
      max_attempts: 1,
    },
  ],
  services: [{name: 'mostrador', max_connections: 110, health_path: '/health'}],
};

/** One requester: books on a kept channel, and opens another one when it is closed. */
async function book(host) {
  while (!isStopped) {
    const {front, name: at} = host();
    const channel = new Channel(front, system);
    let before;
    try {
      await channel.connected();
    } catch {
      await wait(100);
      continue;
    }
    for (let number = 1; channel.isUsable() && !isStopped; number++) {
      const id = `b${(nextId++).toString(16).padStart(15, '0')}`;
      const result = await channel.send(
        formatRequest({
          method: 'POST',
          path: '/puxa403/2f',
          id,
          deadlineMs: 3000,
          body: 'hut=12',
        }),
      );
      outcomes.push({id, number, at, before, ...result});
      before = result.headers;
    }
    channel.close();
  }
}

async function main() {
  await system.start(['pinamar', 'pinamar'], config);
  for (const server of servers) {
    await server.start();
  }
  await system.startHosts();
  const [first, second] = system.hosts;
  await wait(1500);
  // As the platform: no new channel to a host after two misses of its readiness.
  let inRotation = true;
  let misses = 0;
  const checks = setInterval(async () => {
    misses = (await first.isReady()) ? 0 : misses + 1;
    inRotation = misses < 2;
  }, 1000);
  const requesters = Array.from({length: CHANNELS}, () =>
    book(() => (inRotation ? first : second)),
  );
  await wait(BEFORE_MS);
  stopMs = system.nowMs();
  if (HAS_TROUBLE) {
    first.expectsExit = true;
    first.signal('SIGTERM');
    system.log(`SIGTERM to ${first.name}`);
  }
  await wait(AFTER_MS);
  isStopped = true;
  await Promise.race([Promise.all(requesters), wait(4000)]);
  clearInterval(checks);
}

function judge() {
  const allRuns = servers.flatMap(({runs}) => runs);
  const runs = new Map(allRuns.map(run => [run.id, run]));
  let lost = 0;
  for (const outcome of outcomes) {
    if (outcome.how === 'answered') {
      continue;
    }
    const {id, number, at, before, how, sentMs, endMs} = outcome;
    const run = runs.get(id);
    const afterMs = sentMs - stopMs;
    system.log(
      `${id}, request ${number} of its channel at ${at}, sent ${afterMs.toFixed(1)} ms after the stop; the answer before it said Connection: ${before?.['connection']}, Keep-Alive: ${before?.['keep-alive']}; ${how} ${(endMs - sentMs).toFixed(1)} ms later; ${run ? `run by ${run.server}: ${run.end}` : 'not run'}`,
    );
    const isCounted = afterMs > -1500 && afterMs < GRACE_MS + 1000;
    lost += run !== undefined && isCounted ? 1 : 0;
  }
  system.logHistory(outcomes, allRuns);
  const byStatus = {};
  for (const {status} of outcomes.filter(({how}) => how === 'answered')) {
    byStatus[status] = (byStatus[status] ?? 0) + 1;
  }
  return {
    lines: [
      `trouble: ${HAS_TROUBLE}; channels: ${CHANNELS}`,
      `sent ${outcomes.length}; answered by status ${JSON.stringify(byStatus)}`,
      `bookings that a server began to run, and whose channel ended without an answer: ${lost}`,
    ],
    isBroken: lost > 0,
    isServed: (byStatus[200] ?? 0) > 200,
  };
}

await runCase({system, servers, play: main, judge});
