import {Encoder} from 'cbor-x';
import {Catalog} from '../catalog/index.js';
import {Fleet, FleetState} from '../fleet/index.js';
import {LogFields, SilentLog} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {SeededRandom} from '../random/index.js';
import {chooseServer} from '../routing/index.js';
import {
  createModelSection,
  createServerKey,
  modelSectionSchema,
  ModelSums,
  ModelSum,
  readModelSection,
  ServerModels,
  subtractSums,
} from '../server_model/index.js';
import {SystemClock, VirtualClock} from '../time/index.js';

const SERVICE = 'desk';
const SERVERS = 46;
const ENGINES = 41;
const HOSTS = 61;
const REPEATS = 3000;
/** Requests per second of all hosts together, and the time for which they are observed. */
const REQUESTS_PER_S = 418;
const OBSERVED_S = 20;
/** Heartbeats per second to the aggregator that sends the summaries. */
const HEARTBEATS_PER_S = 2.5;
const KIND = {route: 'chat', hasPrefill: true};
const FEATURES = {
  kind: KIND,
  ownTokens: 8000,
  aheadTokens: 2000,
  occupancy: 0.4,
  slotWaitMs: 0,
  hopMs: 0,
  expectedMs: 130,
};

/** Measures the cost of learned times: of a choice, and of the sections of messages. */
export function measureServerModel(): LogFields[] {
  return [
    measureChoice(false, false),
    measureChoice(true, false),
    measureChoice(true, true),
    measureMessages(),
  ];
}

function measureChoice(isEnabled: boolean, isLearned: boolean): LogFields {
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const peers = isLearned ? sumHosts().all : new ModelSum().get();
  const models = createModels(clock, isEnabled, () => peers);
  const fleet = createFleet(models);
  const parts = [{id: 'own', tokens: 8000}];
  const choose = () => {
    const servers = fleet.listKnowledge(SERVICE, {parts, kind: KIND});
    const request = {
      promptTokens: 8000,
      expectedTokens: 100,
      excluded: new Set<string>(),
    };
    chooseServer(request, servers, random);
  };
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    choose();
  }
  const startMs = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    choose();
  }
  const spentMs = performance.now() - startMs;
  return {
    slope: 'server_model_choice',
    servers: SERVERS,
    enabled: isEnabled,
    learned: isLearned,
    choice_us: ((spentMs * 1000) / REPEATS).toFixed(1),
  };
}

function measureMessages(): LogFields {
  const {own, all} = sumHosts();
  const encoder = new Encoder();
  const report = encoder.encode(createModelSection(own)).length;
  const summary = encoder.encode(createModelSection(all));
  const startMs = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat++) {
    const section = modelSectionSchema.parse(createModelSection(all));
    readModelSection(section);
  }
  const spentMs = performance.now() - startMs;
  return {
    slope: 'server_model_messages',
    engines: ENGINES,
    hosts: HOSTS,
    report_bytes: report,
    summary_bytes: summary.length,
    bytes_per_host_and_s: (
      HEARTBEATS_PER_S *
      (report + summary.length)
    ).toFixed(0),
    create_and_read_us: ((spentMs * 1000) / REPEATS).toFixed(1),
  };
}

/** Returns the sums of one host, and those of all others. */
function sumHosts(): {readonly own: ModelSums; readonly all: ModelSums} {
  const clock = new VirtualClock();
  const random = new SeededRandom(3);
  const hosts = Array.from({length: HOSTS}, () =>
    createModels(clock, true, () => new ModelSum().get()),
  );
  const requests = REQUESTS_PER_S * OBSERVED_S;
  for (let request = 0; request < requests; request++) {
    const host = hosts[Math.floor(random.next() * HOSTS)];
    const server = createServerId(Math.floor(random.next() * ENGINES));
    const tookMs = 80 + 100 * random.next();
    host?.observe(SERVICE, server, FEATURES, FEATURES.expectedMs, tookMs);
    void clock.advance(1000 / REQUESTS_PER_S);
  }
  const sum = new ModelSum();
  for (const host of hosts) {
    sum.add(host.listSums(), 0);
  }
  const own = hosts[0]?.listSums() ?? new ModelSum().get();
  // Each engine has had an answer recently, at some host.
  const late = Array.from({length: ENGINES}, (_, index): [string, number[]] => [
    createServerKey(createServerId(index)),
    [1.5, 0.3],
  ]);
  const all = {...subtractSums(sum.get(), own, 0), late: new Map(late)};
  return {own: {...own, late: new Map(late.slice(0, 2))}, all};
}

function createModels(
  clock: SystemClock | VirtualClock,
  isEnabled: boolean,
  sumPeers: () => ModelSums,
): ServerModels {
  return new ServerModels({
    clock,
    log: new SilentLog(),
    metrics: new Metrics(),
    isEnabled: () => isEnabled,
    sumPeers,
  });
}

function createFleet(models: ServerModels): Fleet {
  const fleet = new Fleet({
    clock: new SystemClock(),
    log: new SilentLog(),
    random: new SeededRandom(1),
    dataCentre: 'here',
    listPeerLoads: () => [],
    models,
  });
  const engine = {slots: 24, cacheTokens: 500_000};
  const services = new Map([[SERVICE, {name: SERVICE, engine}]]);
  fleet.setCatalog({services} as unknown as Catalog);
  for (let index = 0; index < SERVERS; index++) {
    const id = createServerId(index);
    fleet.register(
      {
        id,
        name: id,
        startedMs: 0,
        service: SERVICE,
        address: `10.1.0.${index}:8000`,
        dataCentre: 'here',
        slots: 24,
        state: FleetState.READY,
        reclaimable: false,
      },
      'slopes',
    );
  }
  return fleet;
}

function createServerId(index: number): string {
  return `i-${index}@1770000000000`;
}
