import {Random, SeededRandom} from '../../src/random/index.js';

/** Kinds of fault, all injected from outside the programs. */
export const FaultKind = {
  HOST_KILL: 'host-kill',
  HOST_STOP: 'host-stop',
  HOST_FREEZE: 'host-freeze',
  HOST_RELOAD: 'host-reload',
  ALL_KILLED: 'all-killed',
  STORE_BUSY: 'store-busy',
  STORE_SILENT: 'store-silent',
  STORE_LOSES_ANSWERS: 'store-loses-answers',
  STORE_DEAF: 'store-deaf',
  STORE_FORGETS: 'store-forgets',
  STORE_LINK_CUT: 'store-link-cut',
  STORE_LINK_SLOW: 'store-link-slow',
  SERVER_CRASH: 'server-crash',
  SERVER_REBORN: 'server-reborn',
  SERVER_DARK: 'server-dark',
  SERVER_LEAVES: 'server-leaves',
  SERVER_LOSES_ANSWERS: 'server-loses-answers',
  SERVER_SPOILS: 'server-spoils',
  SERVER_FAILS: 'server-fails',
  SERVER_SHEDS: 'server-sheds',
  SERVER_LINK_RESET: 'server-link-reset',
  SERVER_LINK_ONE_WAY: 'server-link-one-way',
  SERVER_LINK_SLOW: 'server-link-slow',
  FOREIGN_ENTRY: 'foreign-entry',
  CHANGE: 'change',
  CALLERS_PRESS: 'callers-press',
  CALLERS_LEAVE: 'callers-leave',
  ENDING_REQUEST: 'ending-request',
  SERVER_LIMITS: 'server-limits',
  SERVER_REMOVED: 'server-removed',
  SERVER_ASKS_FOR_BACKOFF: 'server-asks-for-backoff',
  SERVER_STATES_LEAVING: 'server-states-leaving',
  STORE_RESTORED: 'store-restored',
  HOST_PARTITIONED: 'host-partitioned',
  SERVERS_BRITTLE: 'servers-brittle',
  SERVER_UNFRAMED: 'server-unframed',
  CRASHING_PART: 'crashing-part',
  SERVERS_REJECT: 'servers-reject',
  SERVER_SILENT: 'server-silent',
  SERVERS_SILENT: 'servers-silent',
  SERVER_ENDLESS: 'server-endless',
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Kinds that are drawn separately, so that older seeds keep their other faults. */
const SEPARATELY_DRAWN: readonly FaultKind[] = [
  FaultKind.SERVER_LIMITS,
  FaultKind.SERVER_REMOVED,
  FaultKind.SERVER_ASKS_FOR_BACKOFF,
  FaultKind.SERVER_STATES_LEAVING,
  FaultKind.STORE_RESTORED,
  FaultKind.HOST_PARTITIONED,
  FaultKind.SERVERS_BRITTLE,
  FaultKind.SERVER_UNFRAMED,
  FaultKind.CRASHING_PART,
  FaultKind.SERVERS_REJECT,
  FaultKind.SERVER_SILENT,
  FaultKind.SERVERS_SILENT,
  FaultKind.SERVER_ENDLESS,
];
/** Seed offset for server limits, so that other draws stay the same. */
const LIMITS_SEED_OFFSET = 0x5eed;
/** Seed offset for series of leaving servers, so that other draws stay the same. */
const LEAVINGS_SEED_OFFSET = 0x1eaf;
/** Seed offset for what servers state and for restored stores, so that other draws stay the same. */
const STATEMENTS_SEED_OFFSET = 0x57a7;

/** Seed offset for partitions and brittle servers, so that other draws stay the same. */
const PARTITIONS_SEED_OFFSET = 0xca57;
/** Seed offset for answers without a marked end, so that other draws stay the same. */
const UNFRAMED_SEED_OFFSET = 0xf4a3;
/** Seed offset for parts that crash servers, so that other draws stay the same. */
const PARTS_SEED_OFFSET = 0x9a27;
/** Seed offset for servers that reject most requests, so that other draws stay the same. */
const REJECTIONS_SEED_OFFSET = 0x8e7c;
/** Seed offset for silent servers, so that other draws stay the same. */
const SILENCES_SEED_OFFSET = 0x51e7;
/** Seed offset for bytes without end, so that other draws stay the same. */
const ENDLESS_SEED_OFFSET = 0xe9d1;

/** A fault in a schedule. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time since the start of the traffic, in milliseconds. */
  readonly atMs: number;
  readonly forMs: number;
  /** Index of the host or server, from 0; wraps around if there are fewer. */
  readonly target: number;
}

/** Size and faults of a run. */
export interface Schedule {
  readonly seed: number;
  readonly hosts: number;
  readonly servers: number;
  /** Routes in addition, which make the configuration large; by default none. */
  readonly routes?: number;
  /** Duration of the traffic, in milliseconds. */
  readonly lengthMs: number;
  readonly faults: readonly Fault[];
}

/**
 * Time at the beginning and the end for which no faults are drawn, in milliseconds. Only
 * server limits start in the first of these.
 */
const MARGIN_MS = 1500;
/** Mean interval between the starts of faults, in milliseconds. */
const PAUSE_MS = 1200;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3000;
/** Share of schedules in which servers limit the requests that they accept. */
const LIMITED_SHARE = 0.5;
/** Duration of such a limit, in milliseconds: it binds some seconds after it is announced. */
const MIN_LIMIT_MS = 7500;
const MAX_LIMIT_MS = 10_000;
/** Maximum number of servers that announce limits at the same time. */
const MAX_LIMITED_SERVERS = 3;
/** Share of schedules with each of: backoffs, servers that state that they leave, a restored store. */
const STATEMENTS_SHARE = 0.5;
const MAX_STATING_SERVERS = 3;
/** Share of schedules with each of: partitioned hosts, brittle servers. */
const PARTITIONS_SHARE = 0.5;
/** Duration of these, in milliseconds: they count from 3 s after their start. */
const MIN_PARTITION_MS = 4500;
const MAX_PARTITION_MS = 7000;
/** Share of schedules in which a part of prompts crashes servers, and for how long. */
const CRASHING_PART_SHARE = 0.5;
const CRASHING_PART_MS = 9000;
/**
 * Share of schedules in which all servers reject most requests, so that retries use up their
 * budget, while half of the hosts are killed again and again. It begins late, when hosts have had
 * requests for which they could retry, and lasts to the end.
 */
const REJECTIONS_SHARE = 0.3;
const REJECTIONS_MS = 7000;
const REJECTIONS_KILL_GAP_MS = 1000;
/** Share of schedules in which servers send answers without a marked end, and how many do. */
const UNFRAMED_SHARE = 0.6;
const MIN_UNFRAMED_SERVERS = 2;
const MAX_UNFRAMED_SERVERS = 6;
/** Duration of these, in milliseconds: a server gets a few requests in a second. */
const MIN_UNFRAMED_MS = 2000;
const MAX_UNFRAMED_MS = 6000;
/** Share of schedules in which sound servers are silent, and then go on where they were. */
const SILENCES_SHARE = 0.7;
const MAX_SILENCE_SERIES = 3;
const MIN_SILENCE_MS = 500;
const MAX_SILENCE_MS = 2000;
/** Share of silences of all servers; the others are of a part of them. */
const ALL_SILENT_SHARE = 0.5;
/** Share of silences that overlap with one of the disruptions below. */
const SILENCE_DISRUPTION_SHARE = 0.6;
const SILENCE_DISRUPTIONS: readonly FaultKind[] = [
  FaultKind.CHANGE,
  FaultKind.HOST_RELOAD,
  FaultKind.HOST_STOP,
  FaultKind.HOST_KILL,
];
/** Share of these schedules that have a longer silence, too. */
const LONG_SILENCES_SHARE = 0.4;
const MIN_LONG_SILENCE_MS = 4000;
const MAX_LONG_SILENCE_MS = 7000;
/** Share of schedules in which servers send bytes without end, and how many do. */
const ENDLESS_SHARE = 0.4;
const MAX_ENDLESS_SERVERS = 2;
/** Share of faults that come as a series of the same kind. */
const SERIES_SHARE = 0.2;
const SERIES_LENGTH = 3;
const SERIES_GAP_MS = 600;
/** Share of schedules in which servers leave throughout the run. */
const LEAVINGS_SHARE = 0.5;
/** Mean interval between leaving servers, in milliseconds. */
const LEAVING_PAUSE_MS = 500;
/**
 * Number of hosts from which on two of them read the tables for all. Such runs have three
 * data centres, and host faults while servers leave.
 */
export const LARGE_RUN_HOSTS = 13;
const HOST_FAULTS: readonly FaultKind[] = [
  FaultKind.HOST_KILL,
  FaultKind.HOST_FREEZE,
  FaultKind.HOST_STOP,
  FaultKind.STORE_LINK_CUT,
];
/** Target resolved, when the fault is injected, to an aggregator; two of these read the tables. */
export const AGGREGATOR = -1;

/**
 * Draws a schedule.
 * @param seed - Determines all random draws.
 * @param hosts - Number of entry hosts.
 * @param lengthMs - Duration of the traffic, in milliseconds.
 */
export function drawSchedule(
  seed: number,
  hosts: number,
  lengthMs: number,
): Schedule {
  const random = new SeededRandom(seed);
  const faults: Fault[] = [];
  let atMs = MARGIN_MS;
  while (atMs < lengthMs - MARGIN_MS) {
    const fault = drawFault(random, atMs);
    const times = random.next() < SERIES_SHARE ? SERIES_LENGTH : 1;
    for (let step = 0; step < times; step++) {
      const target = fault.target + step;
      faults.push({...fault, atMs: atMs + step * SERIES_GAP_MS, target});
    }
    atMs += Math.round(PAUSE_MS * (0.3 + 1.4 * random.next()));
  }
  faults.push(...drawLimits(new SeededRandom(seed + LIMITS_SEED_OFFSET)));
  faults.push(
    ...drawLeavings(
      new SeededRandom(seed + LEAVINGS_SEED_OFFSET),
      hosts,
      lengthMs,
    ),
  );
  faults.push(
    ...drawStatements(
      new SeededRandom(seed + STATEMENTS_SEED_OFFSET),
      lengthMs,
    ),
  );
  faults.push(
    ...drawPartitions(
      new SeededRandom(seed + PARTITIONS_SEED_OFFSET),
      hosts,
      lengthMs,
    ),
  );
  faults.push(
    ...drawUnframed(new SeededRandom(seed + UNFRAMED_SEED_OFFSET), lengthMs),
    ...drawCrashingPart(new SeededRandom(seed + PARTS_SEED_OFFSET), lengthMs),
    ...drawRejections(
      new SeededRandom(seed + REJECTIONS_SEED_OFFSET),
      hosts,
      lengthMs,
    ),
    ...drawSilences(
      new SeededRandom(seed + SILENCES_SEED_OFFSET),
      hosts,
      lengthMs,
    ),
    ...drawEndless(new SeededRandom(seed + ENDLESS_SEED_OFFSET), lengthMs),
  );
  faults.sort((a, b) => a.atMs - b.atMs);
  return {seed, hosts, servers: countServers(hosts), lengthMs, faults};
}

/**
 * Draws servers that leave in series, either announced or only removed from the store.
 * Large schedules also include host faults, half of them targeting table readers.
 */
function drawLeavings(
  random: Random,
  hosts: number,
  lengthMs: number,
): Fault[] {
  if (random.next() >= LEAVINGS_SHARE) {
    return [];
  }
  const faults: Fault[] = [];
  let atMs = MARGIN_MS;
  while (atMs < lengthMs - MARGIN_MS) {
    const isAnnounced = random.next() < 0.5;
    faults.push({
      kind: isAnnounced ? FaultKind.SERVER_LEAVES : FaultKind.SERVER_REMOVED,
      atMs,
      forMs: 0,
      target: Math.floor(random.next() * 64),
    });
    if (hosts >= LARGE_RUN_HOSTS && random.next() < 0.3) {
      faults.push(drawHostFault(random, atMs));
    }
    atMs += Math.round(LEAVING_PAUSE_MS * (0.5 + random.next()));
  }
  return faults;
}

/** Draws what servers state about themselves in answers, and a restored store. */
function drawStatements(random: Random, lengthMs: number): Fault[] {
  const faults: Fault[] = [];
  const spanMs = lengthMs - 2 * MARGIN_MS;
  for (const kind of [
    FaultKind.SERVER_ASKS_FOR_BACKOFF,
    FaultKind.SERVER_STATES_LEAVING,
    FaultKind.STORE_RESTORED,
  ]) {
    const isDrawn = random.next() < STATEMENTS_SHARE;
    const times =
      kind === FaultKind.STORE_RESTORED
        ? 1
        : 1 + Math.floor(random.next() * MAX_STATING_SERVERS);
    for (let count = 0; isDrawn && count < times; count++) {
      faults.push({
        kind,
        atMs: Math.round(MARGIN_MS + spanMs * random.next()),
        forMs: drawDurationMs(random),
        target: Math.floor(random.next() * 64),
      });
    }
  }
  return faults;
}

/** Draws hosts that are partitioned from all servers, up to all of them, and brittle servers. */
function drawPartitions(
  random: Random,
  hosts: number,
  lengthMs: number,
): Fault[] {
  const faults: Fault[] = [];
  for (const kind of [FaultKind.HOST_PARTITIONED, FaultKind.SERVERS_BRITTLE]) {
    const isDrawn = random.next() < PARTITIONS_SHARE;
    const isPartition = kind === FaultKind.HOST_PARTITIONED;
    const count = isPartition ? 1 + Math.floor(random.next() * hosts) : 1;
    const rangeMs = MAX_PARTITION_MS - MIN_PARTITION_MS;
    const forMs = Math.round(MIN_PARTITION_MS + rangeMs * random.next());
    const spanMs = Math.max(0, lengthMs - 2 * MARGIN_MS - forMs);
    const atMs = Math.round(MARGIN_MS + spanMs * random.next());
    const first = Math.floor(random.next() * 64);
    for (let index = 0; isDrawn && index < count; index++) {
      faults.push({kind, atMs, forMs, target: first + index});
    }
  }
  return faults;
}

/** Draws a part of prompts that crashes servers. */
function drawCrashingPart(random: Random, lengthMs: number): Fault[] {
  if (random.next() >= CRASHING_PART_SHARE) {
    return [];
  }
  const spanMs = Math.max(0, lengthMs - 2 * MARGIN_MS - CRASHING_PART_MS);
  const atMs = Math.round(MARGIN_MS + spanMs * random.next());
  return [
    {kind: FaultKind.CRASHING_PART, atMs, forMs: CRASHING_PART_MS, target: 0},
  ];
}

/** Draws servers that reject most requests while half of the hosts are killed in series. */
function drawRejections(
  random: Random,
  hosts: number,
  lengthMs: number,
): Fault[] {
  if (random.next() >= REJECTIONS_SHARE) {
    return [];
  }
  const fromMs = Math.max(MARGIN_MS, lengthMs - MARGIN_MS - REJECTIONS_MS);
  const faults: Fault[] = [
    {
      kind: FaultKind.SERVERS_REJECT,
      atMs: fromMs,
      forMs: REJECTIONS_MS,
      target: 0,
    },
  ];
  const gapMs = REJECTIONS_KILL_GAP_MS;
  for (let atMs = gapMs; atMs < REJECTIONS_MS; atMs += gapMs) {
    for (let target = 0; target < hosts / 2; target++) {
      faults.push({
        kind: FaultKind.HOST_KILL,
        atMs: fromMs + atMs,
        forMs: MIN_FAULT_MS,
        target,
      });
    }
  }
  return faults;
}

/** Draws servers that send answers with neither length nor chunks and break some off. */
function drawUnframed(random: Random, lengthMs: number): Fault[] {
  if (random.next() >= UNFRAMED_SHARE) {
    return [];
  }
  const range = MAX_UNFRAMED_SERVERS - MIN_UNFRAMED_SERVERS + 1;
  const count = MIN_UNFRAMED_SERVERS + Math.floor(random.next() * range);
  const spanMs = lengthMs - 2 * MARGIN_MS;
  const rangeMs = MAX_UNFRAMED_MS - MIN_UNFRAMED_MS;
  return Array.from({length: count}, () => ({
    kind: FaultKind.SERVER_UNFRAMED,
    atMs: Math.round(MARGIN_MS + spanMs * random.next()),
    forMs: Math.round(MIN_UNFRAMED_MS + rangeMs * random.next()),
    target: Math.floor(random.next() * 64),
  }));
}

/**
 * Draws silences of sound servers, of all or of a part, in series and overlapping with changes of
 * the configuration and host faults, and servers that are silent for longer.
 */
function drawSilences(
  random: Random,
  hosts: number,
  lengthMs: number,
): Fault[] {
  if (random.next() >= SILENCES_SHARE) {
    return [];
  }
  const faults: Fault[] = [];
  const spanMs = lengthMs - 2 * MARGIN_MS;
  const series = 1 + Math.floor(random.next() * MAX_SILENCE_SERIES);
  for (let count = 0; count < series; count++) {
    let atMs = MARGIN_MS + spanMs * random.next();
    for (let step = 0; step < SERIES_LENGTH; step++) {
      const rangeMs = MAX_SILENCE_MS - MIN_SILENCE_MS;
      const forMs = MIN_SILENCE_MS + rangeMs * random.next();
      faults.push(...drawSilence(random, hosts, atMs, forMs));
      const disruption = random.next();
      if (disruption < SILENCE_DISRUPTION_SHARE) {
        const index = random.next() * SILENCE_DISRUPTIONS.length;
        const kind = SILENCE_DISRUPTIONS[Math.floor(index)];
        faults.push({
          kind: kind ?? FaultKind.CHANGE,
          // Shortly before the silence, or in it.
          atMs: Math.round(atMs + (random.next() - 0.5) * forMs),
          forMs: MIN_FAULT_MS,
          target: Math.floor(random.next() * 64),
        });
      }
      atMs += forMs + MAX_SILENCE_MS * random.next();
    }
  }
  if (random.next() < LONG_SILENCES_SHARE) {
    const rangeMs = MAX_LONG_SILENCE_MS - MIN_LONG_SILENCE_MS;
    const forMs = MIN_LONG_SILENCE_MS + rangeMs * random.next();
    const atMs = MARGIN_MS + spanMs * random.next();
    faults.push(...drawSilence(random, hosts, atMs, forMs));
  }
  return faults.filter(({atMs}) => atMs < lengthMs - MARGIN_MS);
}

/** Draws one silence, of all servers or of a part of them. */
function drawSilence(
  random: Random,
  hosts: number,
  atMs: number,
  forMs: number,
): Fault[] {
  const times = {atMs: Math.round(atMs), forMs: Math.round(forMs)};
  if (random.next() < ALL_SILENT_SHARE) {
    return [{kind: FaultKind.SERVERS_SILENT, ...times, target: 0}];
  }
  const count = Math.ceil(countServers(hosts) * random.next());
  const first = Math.floor(random.next() * 64);
  return Array.from({length: count}, (_value, index) => ({
    kind: FaultKind.SERVER_SILENT,
    ...times,
    target: first + index,
  }));
}

/** Draws servers that send bytes without end instead of streams. */
function drawEndless(random: Random, lengthMs: number): Fault[] {
  if (random.next() >= ENDLESS_SHARE) {
    return [];
  }
  const count = 1 + Math.floor(random.next() * MAX_ENDLESS_SERVERS);
  const spanMs = lengthMs - 2 * MARGIN_MS;
  return Array.from({length: count}, () => ({
    kind: FaultKind.SERVER_ENDLESS,
    atMs: Math.round(MARGIN_MS + spanMs * random.next()),
    forMs: drawDurationMs(random),
    target: Math.floor(random.next() * 64),
  }));
}

function countServers(hosts: number): number {
  return 2 * hosts;
}

/** Draws the duration of a fault, in milliseconds. */
function drawDurationMs(random: Random): number {
  return Math.round(
    MIN_FAULT_MS + (MAX_FAULT_MS - MIN_FAULT_MS) * random.next(),
  );
}

function drawHostFault(random: Random, atMs: number): Fault {
  const kind = HOST_FAULTS[Math.floor(random.next() * HOST_FAULTS.length)];
  return {
    kind: kind ?? FaultKind.HOST_KILL,
    atMs,
    forMs: drawDurationMs(random),
    target: random.next() < 0.5 ? AGGREGATOR : Math.floor(random.next() * 64),
  };
}

function drawFault(random: Random, atMs: number): Fault {
  const kinds = Object.values(FaultKind).filter(
    kind => !SEPARATELY_DRAWN.includes(kind),
  );
  const kind = kinds[Math.floor(random.next() * kinds.length)];
  return {
    kind: kind ?? FaultKind.CHANGE,
    atMs,
    forMs: drawDurationMs(random),
    target: Math.floor(random.next() * 64),
  };
}

function drawLimits(random: Random): Fault[] {
  if (random.next() >= LIMITED_SHARE) {
    return [];
  }
  const count = 1 + Math.floor(random.next() * MAX_LIMITED_SERVERS);
  const atMs = Math.round(MARGIN_MS * random.next());
  const spanMs = MAX_LIMIT_MS - MIN_LIMIT_MS;
  const forMs = Math.round(MIN_LIMIT_MS + spanMs * random.next());
  const first = Math.floor(random.next() * 64);
  return Array.from({length: count}, (_value, index) => ({
    kind: FaultKind.SERVER_LIMITS,
    atMs,
    forMs,
    target: first + index,
  }));
}
