import {expect} from 'chai';
import {CallerRequest, CallerTraffic} from './fakes/caller_traffic.js';
import {answerWith, Script} from './fakes/fake_server.js';
import {Partition, PartitionMode} from './fakes/partition.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

const HOSTS = 4;
const PARTITIONED_HOSTS = 2;
const SERVERS = 6;
const REQUESTS_PER_SECOND = 60;
const WORK_MS = 20;
const PARTITION_AT_MS = 1000;
/** Time after the start of a partition within which requests may fail (`contact_ms`). */
const CONTACT_MS = 3000;
const TRAFFIC_MS = 6000;
const MAX_MEDIAN_MS = 100;
const MAX_REFUSAL_MS = 50;

describe('hosts that are partitioned from all servers', () => {
  let system: TestSystem;
  let partitions: Partition[];
  let hosts: RunningHost[];

  beforeEach(async () => {
    system = new TestSystem();
    system.addServers(SERVERS, () => answerAfter(WORK_MS));
    await system.start();
    const ports = system.addresses.map(address =>
      Number(address.split(':')[1]),
    );
    partitions = [];
    hosts = [];
    for (let index = 0; index < HOSTS; index++) {
      const partition = new Partition(() => true);
      for (const port of ports) {
        await partition.addServer(port);
      }
      partitions.push(partition);
      const host = await system.startHost(`front-${index}`, [], '', {
        openConnection: partition.open,
      });
      hosts.push(host);
    }
    for (const host of hosts) {
      await system.waitFor(() => system.isReady(host));
    }
  });

  afterEach(async () => {
    await system.stop();
    for (const partition of partitions) {
      partition.stop();
    }
  });

  // Guards against RECOVER: hosts that cannot reach servers fail the requests of their
  // callers though the other hosts reach the same servers.
  for (const mode of [
    PartitionMode.HANGING,
    PartitionMode.RESET,
    PartitionMode.NEW_RESET,
    PartitionMode.NEW_REFUSED,
  ]) {
    it(`serve requests through other hosts (${mode})`, async () => {
      const requests = await sendDuringPartition(mode, '/a/x');
      const judged = requests.filter(
        ({sentMs}) => sentMs >= PARTITION_AT_MS + CONTACT_MS,
      );
      const ofPartitioned = judged.filter(({host}) => host < PARTITIONED_HOSTS);
      expect(listStatuses(ofPartitioned)).to.deep.equal([200]);
      expect(getMedianMs(ofPartitioned)).to.be.below(MAX_MEDIAN_MS);
      const ofOthers = judged.filter(({host}) => host >= PARTITIONED_HOSTS);
      expect(listStatuses(ofOthers)).to.deep.equal([200]);
    });
  }

  // Guards against TWICE and REFUSED: a request that may run once runs again elsewhere, or
  // is reported as not run though it has.
  for (const mode of [PartitionMode.HANGING, PartitionMode.RESET]) {
    it(`run each request that may run once at most once (${mode})`, async () => {
      const requests = await sendDuringPartition(mode, '/o/x');
      const runs = new Map<string, number>();
      for (const {headers} of system.servers.flatMap(
        server => server.requests,
      )) {
        const id = headers.get('request-id') ?? '';
        runs.set(id, (runs.get(id) ?? 0) + 1);
      }
      expect([...runs.values()].filter(count => count > 1)).to.deep.equal([]);
      const refused = requests.filter(({view}) => view.status === 503);
      expect(refused.filter(({id}) => runs.has(id))).to.deep.equal([]);
      const judged = requests.filter(
        ({sentMs}) => sentMs >= PARTITION_AT_MS + CONTACT_MS,
      );
      expect(listStatuses(judged)).to.deep.equal([200]);
    });
  }

  // Guards against callers that wait for connection timeouts when no host can help.
  it('refuse requests at once while no host reaches a server', async () => {
    const requests = await sendDuringPartition(
      PartitionMode.HANGING,
      '/a/x',
      HOSTS,
    );
    const judged = requests.filter(
      ({sentMs}) => sentMs >= PARTITION_AT_MS + CONTACT_MS,
    );
    expect(listStatuses(judged)).to.deep.equal([503]);
    expect(getMedianMs(judged)).to.be.below(MAX_REFUSAL_MS);
    for (const {view} of judged) {
      expect(Number(view.headers['retry-after'])).to.be.above(0);
    }
  });

  // Guards against hosts that go on forwarding, or that stay cut off, after the partition.
  it('send requests themselves again after the partition', async () => {
    await sendDuringPartition(PartitionMode.HANGING, '/a/x');
    for (const partition of partitions) {
      partition.set(PartitionMode.NONE);
    }
    for (const host of hosts) {
      await system.waitFor(async () => {
        const {body} = await system.get(host.metrics, '/metrics');
        return !/service_unreachable\{[^}]*\} 1/.test(body);
      });
    }
    const before = await countForwards();
    const traffic = new CallerTraffic(system, hosts, REQUESTS_PER_SECOND);
    const requests = await traffic.sendFor(500);
    expect(listStatuses(requests)).to.deep.equal([200]);
    expect(await countForwards()).to.equal(before);
  });

  /** Counts the requests that hosts have forwarded. */
  async function countForwards(): Promise<number> {
    let sum = 0;
    for (const host of hosts) {
      const {body} = await system.get(host.metrics, '/metrics');
      for (const [, count] of body.matchAll(/forwarded\{.*\} (\d+)$/gm)) {
        sum += Number(count);
      }
    }
    return sum;
  }

  async function sendDuringPartition(
    mode: PartitionMode,
    path: string,
    partitionedHosts = PARTITIONED_HOSTS,
  ): Promise<CallerRequest[]> {
    system.putConfig({
      routes: [
        system.createRoute('/a/', {}),
        system.createRoute('/o/', {kind: 'non_idempotent'}),
      ],
    });
    for (const host of hosts) {
      await system.waitFor(
        async () => (await system.call(host, path)).status === 200,
      );
    }
    const traffic = new CallerTraffic(system, hosts, REQUESTS_PER_SECOND);
    const startMs = performance.now();
    const timer = setTimeout(() => {
      for (const partition of partitions.slice(0, partitionedHosts)) {
        partition.set(mode);
      }
    }, PARTITION_AT_MS);
    const requests = await traffic.sendFor(TRAFFIC_MS, path);
    clearTimeout(timer);
    return requests.map(request => ({
      ...request,
      sentMs: request.sentMs - startMs,
      answeredMs: request.answeredMs - startMs,
    }));
  }
});

function answerAfter(ms: number): Script {
  const answer = answerWith('whole');
  return (socket, request) => {
    setTimeout(() => answer(socket, request), ms);
  };
}

function listStatuses(requests: readonly CallerRequest[]): number[] {
  return [...new Set(requests.map(({view}) => view.status))];
}

function getMedianMs(requests: readonly CallerRequest[]): number {
  const tookMs = requests
    .map(({sentMs, answeredMs}) => answeredMs - sentMs)
    .sort((a, b) => a - b);
  return tookMs[Math.floor(tookMs.length / 2)] ?? Infinity;
}
