// A server hands out wrong bytes in one stream and breaks it off; the host goes on elsewhere.
import {Channel, formatRequest} from '../channel.mjs';
import {PlainServer} from '../plain_server.mjs';
import {StreamServer} from '../stream_server.mjs';
import {System} from '../system.mjs';
import {wait} from '../net.mjs';
import {runCase} from '../run_case.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const BOOKERS = 12;
const system = new System(import.meta.dirname);
const ZONES = ['pinamar', 'carilo', 'villa-gesell', 'ostende'];
const plain = ZONES.map(
  (zone, index) =>
    new PlainServer(
      `i-${index}a7`,
      zone,
      system,
      () => 60 + 100 * Math.random(),
    ),
);
const models = ZONES.map(
  (zone, index) => new StreamServer(`m-${index}c3`, zone, system),
);
for (const model of models) {
  model.events = 12;
  model.pauseMs = 15;
}
const servers = [...plain, ...models];
const outcomes = [];
let isStopped = false;
let nextId = 1;
let spoiledMs;

const common = {host: 'desk.example', target_latency_ms: 300};
const config = {
  routes: [
    {
      ...common,
      name: 'alta-reserva',
      prefix: '/puxa403/',
      kind: 'non_idempotent',
      timeout_ms: 1500,
      priority: 2,
      service: 'mostrador',
      max_attempts: 1,
    },
    {
      ...common,
      name: 'consulta-inquilino',
      prefix: '/lohu930/',
      kind: 'streaming',
      resumable: true,
      sticky_sessions: true,
      gap_target_ms: 300,
      timeout_ms: 12000,
      priority: 0,
      service: 'redactor',
      max_attempts: 2,
    },
  ],
  services: [
    {name: 'mostrador', max_connections: 110, health_path: '/health'},
    {
      name: 'redactor',
      max_connections: 370,
      engine: {slots: 64, kv_cache_tokens: 801136},
    },
  ],
};

function createId(letter) {
  return `${letter}${(nextId++).toString(16).padStart(15, '0')}`;
}

/** One requester: the same kind of request again and again on a kept channel. */
async function request(host, create) {
  while (!isStopped) {
    const channel = new Channel(host.front, system);
    try {
      await channel.connected();
    } catch {
      await wait(100);
      continue;
    }
    while (channel.isUsable() && !isStopped) {
      const {kind, ...fields} = create();
      const result = await channel.send(formatRequest(fields));
      outcomes.push({id: fields.id, kind, at: host.name, ...result});
      await wait(5);
    }
    channel.close();
  }
}

const createBooking = () => ({
  kind: 'booking',
  method: 'POST',
  path: '/puxa403/2f',
  id: createId('b'),
  deadlineMs: 3000,
  body: 'hut=12',
});

const createQuestion = () => ({
  kind: 'stream',
  method: 'POST',
  path: '/lohu930/2f',
  id: createId('c'),
  deadlineMs: 12000,
  headers: [
    'Model: m',
    'Token-Count: 628,240',
    `Prompt-Prefix: 5c1e07a2:119,${nextId.toString(16).padStart(8, '0')}:79`,
  ],
  body: 'question',
});

async function main() {
  await system.start(['pinamar'], config);
  for (const server of servers) {
    await server.start();
  }
  await system.startHosts();
  const [host] = system.hosts;
  await wait(1500);
  const requesters = [
    ...Array.from({length: BOOKERS}, () => request(host, createBooking)),
    ...Array.from({length: 12}, () => request(host, createQuestion)),
  ];
  host.onExit = exit =>
    system.log(
      `the process of ${exit.host} ended: code ${exit.code} signal ${exit.signal}${exit.expected ? ' (asked for)' : ' BY ITSELF'}`,
    );
  await wait(3000);
  if (HAS_TROUBLE) {
    // One answer of one server: a byte of an id is wrong, and the answer is broken off there.
    for (const model of models) {
      model.spoil = (id, number) => {
        if (spoiledMs !== undefined || number !== 6) {
          return undefined;
        }
        spoiledMs = system.nowMs();
        system.log(`${model.id} spoils event 6 of ${id} and breaks it off`);
        return `id: \x16\ndata: piece 6 of ${id}\n\n`;
      };
    }
  }
  await wait(4000);
  isStopped = true;
  await Promise.race([Promise.all(requesters), wait(4000)]);
}

function judge() {
  const bookingRuns = plain.flatMap(({runs}) => runs);
  const runs = new Map(bookingRuns.map(run => [run.id, run]));
  const [host] = system.hosts;
  const ownEnds = host.exits.filter(({expected}) => !expected);
  let lost = 0;
  for (const outcome of outcomes) {
    const run = runs.get(outcome.id);
    if (outcome.how === 'answered' || outcome.kind !== 'booking') {
      continue;
    }
    system.log(
      `${outcome.id}: ${outcome.how} ${(outcome.endMs - outcome.sentMs).toFixed(1)} ms after it was sent; ${run ? `run by ${run.server}: ${run.end}` : 'not run'}`,
    );
    lost += run === undefined ? 0 : 1;
  }
  if (ownEnds.length > 0) {
    system.log(`last output of ${host.name}:`);
    system.lines.push(host.output.slice(-1200));
  }
  const streamRuns = models.flatMap(({runs: all}) => all);
  system.logHistory(outcomes, [...bookingRuns, ...streamRuns]);
  const count = kind =>
    outcomes.filter(o => o.kind === kind && o.status === 200).length;
  return {
    lines: [
      `trouble: ${HAS_TROUBLE}; answers of model servers: ${streamRuns.length}`,
      `answered with 200: ${count('booking')} bookings, ${count('stream')} streams`,
      `processes that ended by themselves: ${ownEnds.length}`,
      `bookings passed on to a sound server whose kept channel was closed without an answer: ${lost}`,
    ],
    isBroken: ownEnds.length > 0 || lost > 3,
    isServed: count('booking') > 100 && count('stream') > 50,
  };
}

await runCase({system, servers, play: main, judge});
