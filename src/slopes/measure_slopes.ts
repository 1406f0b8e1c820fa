import {Encoder} from 'cbor-x';
import {GenerationFormat} from '../backend/index.js';
import {
  ConfigurationStore,
  RecordKind,
  Server,
  ServerKind,
} from '../configuration/index.js';
import {Generation} from '../generation/index.js';
import {EntryState} from '../journal/index.js';
import {LogFields, SilentLog} from '../log/index.js';
import {
  Heartbeat,
  heartbeatSchema,
  HostDetail,
  LeavingHosts,
  Membership,
} from '../membership/index.js';
import {chooseLinks, encodeFrame} from '../peer/index.js';
import {SeededRandom} from '../random/index.js';
import {chooseServer, ServerDirectory} from '../routing/index.js';
import {SystemClock} from '../time/index.js';

/** Hosts and data centres of each measured size. */
const MEMBER_SIZES = [
  {hosts: 8, centres: 4},
  {hosts: 32, centres: 8},
  {hosts: 100, centres: 12},
  {hosts: 350, centres: 25},
] as const;
const SERVER_SIZES = [12, 72, 300, 1800] as const;
const RECORD_SIZES = [20, 200, 2000] as const;
const GENERATION_SIZES = [100, 1000, 4000] as const;
const ENTRY_SIZES = [1000, 10_000, 100_000] as const;
const REPEATS = 200;
const HEARTBEATS_PER_SECOND = 1;
/** Interval at which host details are sent again; they are also sent on changes. */
const RESEND_SECONDS = 60;
/**
 * Hosts up to which heartbeats to other data centres carry engine loads too. Same value as in
 * `src/daemon/heartbeats.ts`.
 */
const SMALL_SYSTEM_HOSTS = 32;
const REPLY_BYTES = 45;
/** Hosts that poll the load of each engine. Same value as in `src/daemon/load_poller.ts`. */
const POLLERS_PER_SERVER = 2;
/** Servers of the largest measured system (350 hosts); smaller ones have proportionally fewer. */
const MAX_SERVERS = 1800;
const clock = new SystemClock();

/**
 * Measures how the costs of membership, routing, configuration, generations and journal entries
 * grow, for docs/CAPACITY.md.
 */
export function measureSlopes(): LogFields[] {
  return [
    ...MEMBER_SIZES.map(measureMembership),
    ...SERVER_SIZES.map(measureRouting),
    ...RECORD_SIZES.map(measureConfiguration),
    ...GENERATION_SIZES.map(measureGenerations),
    ...ENTRY_SIZES.map(measureEntries),
  ];
}

/** Measures bytes sent and CPU time for the heartbeats of one host. */
function measureMembership(size: {hosts: number; centres: number}): LogFields {
  const perCentre = Math.ceil(size.hosts / size.centres);
  const servers = Math.min(
    MAX_SERVERS,
    Math.ceil((size.hosts * MAX_SERVERS) / 350),
  );
  const localServers = Math.ceil(servers / size.centres);
  const polledPerHost = Math.ceil(
    (localServers * POLLERS_PER_SERVER) / perCentre,
  );
  const hosts = Array.from({length: size.hosts}, (_unused, index) => ({
    host: `host-${index}`,
    dataCentre: `centre-${index % size.centres}`,
    address: `10.0.${index >> 8}.${index & 255}:7100`,
  }));
  const links = chooseLinks(
    {host: 'host-0', dataCentre: 'centre-0'},
    hosts.slice(1),
  );
  const localHosts = hosts.filter(host => host.dataCentre === 'centre-0');
  const heartbeat = createHeartbeat(polledPerHost);
  const remoteHeartbeatBytes = encodeFrame(
    wrapInRequest(createHeartbeat(0)),
  ).length;
  const detail = createDetail(localHosts, polledPerHost);
  const heartbeatBytes = encodeFrame(wrapInRequest(heartbeat)).length;
  const detailBytes = encodeFrame(wrapInRequest({...heartbeat, detail})).length;
  const membership = createMembership();
  const startMs = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const sent = encodeFrame(wrapInRequest(heartbeat));
    const received = new Encoder({useRecords: false}).decode(
      sent.subarray(4),
    ) as {body: {body?: unknown; status: unknown}};
    const status = heartbeatSchema.parse(received.body.status);
    membership.addStatus({...IDENTITY, ...status});
  }
  const cpuMs = (performance.now() - startMs) / REPEATS;
  // Over each link this host sends its heartbeat and a reply to the peer's heartbeat.
  const heartbeatsPerSecond = links.length * HEARTBEATS_PER_SECOND;
  const detailBytesPerSecond = (links.length * detailBytes) / RESEND_SECONDS;
  const localLinks = links.filter(
    link => link.dataCentre === 'centre-0',
  ).length;
  const remoteLinks = links.length - localLinks;
  const isSmall = size.hosts <= SMALL_SYSTEM_HOSTS;
  const heartbeatBytesPerRound = isSmall
    ? links.length * heartbeatBytes
    : localLinks * heartbeatBytes + remoteLinks * remoteHeartbeatBytes;
  const bytesPerSecond =
    HEARTBEATS_PER_SECOND *
      (heartbeatBytesPerRound + links.length * REPLY_BYTES) +
    detailBytesPerSecond;
  return {
    slope: 'membership',
    hosts: size.hosts,
    links: links.length,
    heartbeat_bytes: heartbeatBytes,
    far_heartbeat_bytes: remoteHeartbeatBytes,
    detail_bytes: detailBytes,
    sent_kb_per_s: (bytesPerSecond / 1000).toFixed(1),
    cpu_ms_per_heartbeat: cpuMs.toFixed(3),
    cpu_percent_of_core: ((cpuMs * heartbeatsPerSecond) / 10).toFixed(2),
  };
}

function wrapInRequest(status: unknown): unknown {
  return {kind: 'request', id: 1, body: {kind: 'heartbeat', status}};
}

const IDENTITY = {
  host: 'host-1',
  dataCentre: 'centre-1',
  incarnation: 'tpfkv517gyp5j',
};

function createHeartbeat(loadCount: number): Heartbeat {
  return {
    state: 'live',
    revision: 1234,
    centreRevision: 1234,
    loads: Array.from({length: loadCount}, (_unused, index) => [
      `server-${index}`,
      200,
      12,
      1,
    ]),
    usage: [
      ['large-1', 12],
      ['small-1', 2],
    ],
    detailVersion: 17,
  };
}

function createDetail(
  hosts: readonly {host: string; dataCentre: string; address: string}[],
  engineCount: number,
): HostDetail {
  return {
    address: '10.0.0.1:7100',
    books: [
      ['slot-01', 3],
      ['host-host-1-tpfkv517gyp5j', 0],
    ],
    hosts: hosts.map(host => ({
      ...host,
      incarnation: 'tpfkv517gyp5j',
      state: 'live',
    })),
    leaving: [{host: 'server-17', ageMs: 1000, remainingMs: 20_000}],
    engines: Array.from({length: engineCount}, (_unused, index) => ({
      server: `server-${index}`,
      capacity: 32,
      prefillRate: 12_000,
      decodeMs: 20,
      models: [{name: 'provenance-8b', version: '3', adapters: []}],
    })),
  };
}

function createMembership(): Membership {
  return new Membership({
    self: {
      host: 'host-0',
      dataCentre: 'centre-0',
      incarnation: 'a',
      address: '10.0.0.0:7100',
    },
    deadAfterMs: 3000,
    clock,
    log: new SilentLog(),
  });
}

/** Measures the time of one routing decision, and memory, by number of known servers. */
function measureRouting(count: number): LogFields {
  const heapBytesBefore = getHeapBytes();
  const directory = new ServerDirectory(
    {
      createEngine: () => undefined as never,
      createService: () => undefined as never,
    },
    clock,
    'centre-0',
    () => 14,
  );
  const servers = Array.from({length: count}, (_unused, index) =>
    createServer(index),
  );
  directory.setServers(servers);
  for (const server of servers) {
    directory.addLoad(
      server.name,
      {
        running: 4,
        waiting: 0,
        capacity: 32,
        prefillRate: 12_000,
        decodeMs: 20,
        models: [{name: 'm', version: '1', adapters: []}],
      },
      0,
    );
  }
  const bytes = getHeapBytes() - heapBytesBefore;
  const random = new SeededRandom(1);
  const names = servers.map(server => server.name);
  const blocks = Array.from({length: 64}, (_unused, index) => index);
  const startMs = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const candidates = directory.listKnowledge(names, blocks);
    chooseServer(
      {promptTokens: 1000, expectedTokens: 100, excluded: new Set()},
      candidates,
      random,
    );
  }
  return {
    slope: 'routing',
    servers: count,
    decision_us: (((performance.now() - startMs) * 1000) / REPEATS).toFixed(1),
    memory_kb: (bytes / 1000).toFixed(0),
  };
}

function createServer(index: number): Server {
  return {
    name: `server-${index}`,
    kind: ServerKind.ENGINE,
    dataCentre: 'centre-0',
    zone: 'a',
    machineClass: 'standard',
    address: `10.1.${index >> 8}.${index & 255}:8000`,
    service: '',
    checksFence: true,
    drained: false,
  };
}

/** Measures the time to apply a revision, and memory, by number of records. */
function measureConfiguration(count: number): LogFields {
  const heapBytesBefore = getHeapBytes();
  const store = new ConfigurationStore(new SilentLog());
  const records = Array.from({length: count}, (_unused, index) => ({
    kind: RecordKind.SERVER,
    name: `server-${index}`,
    revision: 1,
    document: {
      schemaVersion: 2,
      kind: RecordKind.SERVER,
      name: `server-${index}`,
      runs: 'engine',
      dataCentre: 'centre-0',
      address: '10.0.0.1:8000',
    },
    changeId: 'slope',
  }));
  store.apply({after: 0, revision: 1, records}, 'slope');
  const bytes = getHeapBytes() - heapBytesBefore;
  const startMs = performance.now();
  const steps = 5;
  for (let revision = 2; revision < 2 + steps; revision++) {
    const changed = records.slice(0, 1).map(record => ({...record, revision}));
    store.apply({after: revision - 1, revision, records: changed}, 'slope');
  }
  return {
    slope: 'configuration',
    records: count,
    step_ms: ((performance.now() - startMs) / steps).toFixed(2),
    memory_kb: (bytes / 1000).toFixed(0),
    delta_bytes: encodeFrame(store.getDelta(steps)).length,
  };
}

/** Measures the memory of open generations with 200 tokens each. */
function measureGenerations(count: number): LogFields {
  const heapBytesBefore = getHeapBytes();
  const open: Generation[] = [];
  for (let index = 0; index < count; index++) {
    const generation = new Generation(
      {
        id: `sf1.host.start.${index}`,
        customer: 'north-house',
        deployment: 'dossier',
        adapter: '',
        format: GenerationFormat.TEXT,
        body: {model: 'dossier', prompt: `lot ${index} `.repeat(400)},
        urgency: 3,
        deadlineMs: 0,
      },
      [],
      0,
    );
    for (let token = 0; token < 200; token++) {
      generation.addToken(`w${token} `);
    }
    open.push(generation);
  }
  const bytes = getHeapBytes() - heapBytesBefore;
  return {
    slope: 'generations',
    open: open.length,
    memory_kb: (bytes / 1000).toFixed(0),
    bytes_each: Math.round(bytes / count),
  };
}

/** Measures the memory and record size of journal entries with small answers. */
function measureEntries(count: number): LogFields {
  const heapBytesBefore = getHeapBytes();
  const entries = new Map<string, unknown>();
  for (let index = 0; index < count; index++) {
    const key = `north-house/bid-${index}`;
    entries.set(key, {
      key,
      requestId: `key.${index}`,
      deployment: 'bids',
      attempt: `start-1-${index}`,
      fingerprint: 'wL0xO7Rk3D1cV9f8wL0xO7Rk3D1cV9f8wL0xO7Rk3D0=',
      state: EntryState.FINISHED,
      atMs: index,
      answer: {
        status: 201,
        contentType: 'application/json',
        bodyBase64: `${index}`.padEnd(160, 'A'),
      },
    });
  }
  const bytes = getHeapBytes() - heapBytesBefore;
  const last = entries.get(`north-house/bid-${count - 1}`);
  return {
    slope: 'entries',
    entries: entries.size,
    memory_kb: (bytes / 1000).toFixed(0),
    bytes_each: Math.round(bytes / count),
    record_bytes: JSON.stringify(last).length,
  };
}

/**
 * Measures the bytes that leaving hosts add to a heartbeat. This cost is expected to be
 * negligible; the measurement verifies that.
 */
export function measureLeaving(count: number): LogFields {
  const leaving = new LeavingHosts(clock, new SilentLog());
  leaving.addNotices(
    Array.from({length: count}, (_unused, index) => ({
      host: `server-${index}`,
      deadlineMs: Date.now() + 30_000,
    })),
  );
  return {
    slope: 'leaving',
    hosts: count,
    heartbeat_bytes: encodeFrame(leaving.list()).length,
  };
}

function getHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
