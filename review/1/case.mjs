// Planned stops of the hosts in turn while requesters use their kept channels again at once.
import {Channel, formatRequest} from '../channel.mjs';
import {PlainServer} from '../plain_server.mjs';
import {System} from '../system.mjs';
import {wait} from '../net.mjs';
import {runCase} from '../run_case.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CHANNELS = Number(process.env.CHANNELS ?? 40);
const GRACE_MS = 8000;
/** Planned stops, one host after the other; `contact_ms` is 3,000. */
const ROUNDS = 4;
const CALM_MS = 4000;
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
const stops = [];

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

/** Checks the readiness of the hosts as the platform does: two misses take one out. */
function checkReadiness() {
  const misses = new Map(system.hosts.map(host => [host, 0]));
  const timer = setInterval(async () => {
    for (const host of system.hosts) {
      const isReady = await host.isReady();
      misses.set(host, isReady ? 0 : misses.get(host) + 1);
    }
  }, 1000);
  return {
    choose: number => {
      const usable = system.hosts.filter(host => misses.get(host) < 2);
      const hosts = usable.length > 0 ? usable : system.hosts;
      return hosts[number % hosts.length];
    },
    stop: () => clearInterval(timer),
  };
}

/** Stops a host as planned, and starts it again when it has ended. */
async function stopInTurn(host) {
  const ended = new Promise(resolve => (host.onExit = resolve));
  host.expectsExit = true;
  host.signal('SIGTERM');
  stops.push({host: host.name, atMs: system.nowMs()});
  system.log(`SIGTERM to ${host.name}`);
  const isOver = await Promise.race([ended, wait(GRACE_MS)]);
  if (isOver === undefined) {
    await host.end();
  }
  system.log(`${host.name} has ended`);
  host.start(false);
  await host.waitUntilReady();
  system.log(`${host.name} is ready again`);
}

async function main() {
  await system.start(['pinamar', 'pinamar'], config);
  for (const server of servers) {
    await server.start();
  }
  await system.startHosts();
  await wait(1500);
  const readiness = checkReadiness();
  const requesters = Array.from({length: CHANNELS}, (_, number) =>
    book(() => readiness.choose(number)),
  );
  for (let round = 0; round < ROUNDS; round++) {
    await wait(CALM_MS);
    if (HAS_TROUBLE) {
      await stopInTurn(system.hosts[round % system.hosts.length]);
    }
  }
  await wait(1000);
  isStopped = true;
  await Promise.race([Promise.all(requesters), wait(4000)]);
  readiness.stop();
}

/** Returns the time since the stop that a request may have met; `undefined` if there is none. */
function findTimeSinceStop({at, endMs, sentMs}) {
  const stop = stops.findLast(({host, atMs}) => host === at && atMs < endMs);
  const sinceMs = stop && sentMs - stop.atMs;
  return sinceMs < GRACE_MS + 1000 ? sinceMs : undefined;
}

function judge() {
  const allRuns = servers.flatMap(({runs}) => runs);
  const runs = new Map(allRuns.map(run => [run.id, run]));
  let lost = 0;
  for (const outcome of outcomes) {
    const sinceMs = findTimeSinceStop(outcome);
    if (outcome.how === 'answered' || sinceMs === undefined) {
      continue;
    }
    const {id, number, at, before, how, sentMs, endMs} = outcome;
    const run = runs.get(id);
    system.log(
      `${id}, request ${number} of its channel at ${at}, sent ${sinceMs.toFixed(1)} ms after the stop; the answer before it said Connection: ${before?.['connection']}, Keep-Alive: ${before?.['keep-alive']}; ${how} ${(endMs - sentMs).toFixed(1)} ms later; ${run ? `run by ${run.server}: ${run.end}` : 'not run'}`,
    );
    lost += run === undefined ? 0 : 1;
  }
  system.logHistory(outcomes, allRuns);
  const byStatus = {};
  for (const {status} of outcomes.filter(({how}) => how === 'answered')) {
    byStatus[status] = (byStatus[status] ?? 0) + 1;
  }
  return {
    lines: [
      `trouble: ${HAS_TROUBLE}; channels: ${CHANNELS}; planned stops: ${stops.length}`,
      `sent ${outcomes.length}; answered by status ${JSON.stringify(byStatus)}`,
      `bookings that a server began to run, and whose channel ended without an answer: ${lost}`,
    ],
    isBroken: lost > 0,
    isServed: (byStatus[200] ?? 0) > 200,
  };
}

await runCase({system, servers, play: main, judge});
