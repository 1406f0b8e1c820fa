import {Encoder} from 'cbor-x';
import {Maybe, Result} from 'true-myth';
import {Fleet, FleetState} from '../fleet/index.js';
import {LogMembers, SilentLog} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {ServerLimits} from '../limits/index.js';
import {SeededRandom} from '../random/index.js';
import {SystemClock} from '../time/index.js';

/** Servers in all, and how many of them name a limit. */
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

/** Measures what limits of servers cost: a choice, and the word of all of them. */
export function measureLimits(): LogMembers[] {
  return SIZES.map(measureSize);
}

function measureSize({
  servers,
  limited,
}: {
  readonly servers: number;
  readonly limited: number;
}): LogMembers {
  const fleet = createFleet(servers);
  const limits = createLimits();
  for (let index = 0; index < limited; index++) {
    limits.addAnswer(getName(index), Result.ok(Maybe.just(LIMIT)), 0);
  }
  const startMs = performance.now();
  for (let turn = 0; turn < REPEATS; turn++) {
    choose(fleet, limits);
  }
  const spentMs = performance.now() - startMs;
  const word = new Encoder().encode(limits.listSince(0));
  return {
    slope: 'limits',
    servers,
    limited,
    choice_us: ((spentMs * 1000) / REPEATS).toFixed(1),
    first_word_bytes: limited === 0 ? 0 : word.length,
  };
}

/** What a request asks of servers and limits before one is chosen. */
function choose(fleet: Fleet, limits: ServerLimits): void {
  if (!limits.hasAny()) {
    fleet.listKnowledge(SERVICE, {parts: []});
    return;
  }
  const withheld = new Set(listWithheld(fleet, limits));
  fleet.listKnowledge(SERVICE, {
    parts: [],
    allows: ({id}) => !withheld.has(id),
  });
}

function listWithheld(fleet: Fleet, limits: ServerLimits): readonly string[] {
  if (fleet.hasReady(SERVICE, ({id}) => !limits.isLimited(id))) {
    return limits.listUsedUp();
  }
  const servers = fleet.listServers(SERVICE).map(({id}) => id);
  return limits.listWithheld(SERVICE, servers, 0);
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
    const id = getName(index);
    fleet.set(
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
    getTrueMs: () => Date.now(),
    getTurn: () => ({hosts: HOSTS, place: 7}),
    isKnownServer: () => true,
  });
}

function getName(index: number): string {
  return `i-${index}@1770000000000`;
}
