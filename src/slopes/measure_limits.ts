import {Encoder} from 'cbor-x';
import {Maybe, Result} from 'true-myth';
import {Fleet, FleetState} from '../fleet/index.js';
import {LogFields, SilentLog} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {ServerLimits} from '../limits/index.js';
import {SeededRandom} from '../random/index.js';
import {SystemClock} from '../time/index.js';

/** Total number of servers, and how many of them state a limit. */
const SIZES = [
  {servers: 72, limited: 0},
  {servers: 72, limited: 72},
  {servers: 1800, limited: 0},
  {servers: 1800, limited: 1},
  {servers: 1800, limited: 1800},
] as const;
const SERVICE = 'desk';
const HOSTS = 350;
const REPEATS = 200;
const LIMIT = 2.6;

/**
 * Measures the cost of server limits: the time of the queries before a server is chosen, and the
 * size of a message with all limits.
 */
export function measureLimits(): LogFields[] {
  return SIZES.map(measureSize);
}

function measureSize({
  servers,
  limited,
}: {
  readonly servers: number;
  readonly limited: number;
}): LogFields {
  const fleet = createFleet(servers);
  const limits = createLimits();
  for (let index = 0; index < limited; index++) {
    limits.addAnswer(createServerId(index), Result.ok(Maybe.just(LIMIT)), 0);
  }
  const startMs = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    runChoiceQueries(fleet, limits);
  }
  const spentMs = performance.now() - startMs;
  const message = new Encoder().encode(limits.listSince(0));
  return {
    slope: 'limits',
    servers,
    limited,
    choice_us: ((spentMs * 1000) / REPEATS).toFixed(1),
    first_word_bytes: limited === 0 ? 0 : message.length,
  };
}

/** Runs the queries on servers and limits that precede the choice of a server for a request. */
function runChoiceQueries(fleet: Fleet, limits: ServerLimits): void {
  if (!limits.hasAny()) {
    fleet.listKnowledge(SERVICE, {parts: []});
    return;
  }
  const excluded = new Set(listExcluded(fleet, limits));
  fleet.listKnowledge(SERVICE, {
    parts: [],
    allows: ({id}) => !excluded.has(id),
  });
}

function listExcluded(fleet: Fleet, limits: ServerLimits): readonly string[] {
  if (fleet.hasReady(SERVICE, ({id}) => !limits.isLimited(id))) {
    return limits.listWithoutPermit();
  }
  const servers = fleet.listServers(SERVICE).map(({id}) => id);
  return limits.listExcluded(SERVICE, servers, 0);
}

function createFleet(count: number): Fleet {
  const fleet = new Fleet({
    clock: new SystemClock(),
    log: new SilentLog(),
    random: new SeededRandom(1),
    dataCentre: 'here',
    listPeerLoads: () => [],
  });
  for (let index = 0; index < count; index++) {
    const id = createServerId(index);
    fleet.register(
      {
        id,
        name: id,
        startedMs: 0,
        service: SERVICE,
        address: `10.1.${index >> 8}.${index & 255}:8000`,
        dataCentre: 'here',
        slots: 12,
        state: FleetState.READY,
        reclaimable: false,
      },
      'slopes',
    );
  }
  return fleet;
}

function createLimits(): ServerLimits {
  return new ServerLimits({
    clock: new SystemClock(),
    log: new SilentLog(),
    metrics: new Metrics(),
    getReferenceMs: () => Date.now(),
    getHostPosition: () => ({hosts: HOSTS, place: 7}),
    isKnownServer: () => true,
  });
}

function createServerId(index: number): string {
  return `i-${index}@1770000000000`;
}
