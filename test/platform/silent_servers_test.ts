import {expect} from 'chai';
import {streamUnlessSilent} from './fakes/silent_streams.js';
import {
  AMPLE_RETRY_RATIO,
  RunningHost,
  TestSystem,
} from './fakes/test_system.js';
import {readStream, ReceivedStream} from './fakes/versioned_streams.js';

/**
 * Guards against LOST: streams that may be resumed were broken off while their servers were
 * silent for a second. A host gave a run up before it knew whether another server could go on.
 */
describe('streams whose servers fall silent', () => {
  const HOSTS = ['front-1', 'front-2', 'front-3'];
  const SERVERS = 6;
  const STREAMS = 60;
  const EVENTS = 40;
  const EVENT_INTERVAL_MS = 25;
  const TIMEOUT_MS = 8000;
  const SILENCE_MS = 1200;
  let system: TestSystem;
  let hosts: RunningHost[];
  /** Servers that are silent now. */
  let silent: ReadonlySet<number>;
  let sentCount: number;

  beforeEach(async () => {
    system = new TestSystem();
    system.slots = STREAMS;
    system.contracts = ['base', 'stream'];
    system.bootstrap = true;
    silent = new Set();
    sentCount = 0;
    system.addServers(
      SERVERS,
      streamUnlessSilent({
        eventCount: EVENTS,
        intervalMs: EVENT_INTERVAL_MS,
        isSilent: server => silent.has(server),
      }),
    );
  });

  afterEach(() => system.stop());

  async function start(): Promise<void> {
    await system.start();
    putConfig(TIMEOUT_MS);
    hosts = await system.startHosts(HOSTS);
  }

  function putConfig(timeoutMs: number): void {
    system.putConfig({
      routes: [
        system.createRoute('/s/', {
          kind: 'streaming',
          resumable: true,
          max_attempts: 4,
          timeout_ms: timeoutMs,
        }),
      ],
    });
  }

  function readStreams(count: number): Promise<ReceivedStream[]> {
    return Promise.all(
      Array.from({length: count}, () => {
        const host = hosts[sentCount % hosts.length] as RunningHost;
        return readStream(host, {
          id: `s${++sentCount}`,
          path: '/s/x',
          headers: {'Deadline-Remaining': String(TIMEOUT_MS)},
        });
      }),
    );
  }

  /** Silences the first servers; the function that is returned ends the silence. */
  function silence(count: number): () => void {
    silent = new Set(Array.from({length: count}, (_, index) => index));
    return () => (silent = new Set());
  }

  /** Lists the retries at servers where their host has another stream, which is silent too. */
  function listUselessRetries(): string[] {
    const useless: string[] = [];
    for (const {requests} of system.servers) {
      const seen = new Set<number>();
      for (const {headers} of requests) {
        const id = headers.get('request-id') ?? '';
        const host = Number(id.slice(1)) % HOSTS.length;
        if (headers.has('last-event-id') && seen.has(host)) {
          useless.push(id);
        }
        seen.add(host);
      }
    }
    return useless;
  }

  function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
  }

  function countWhole(streams: readonly ReceivedStream[]): number {
    return streams.filter(({isWhole, ids}) => isWhole && isInOrder(ids)).length;
  }

  function isInOrder(ids: readonly number[]): boolean {
    return ids.length === EVENTS && ids.every((id, index) => id === index + 1);
  }

  it('are whole, without retries at silent servers, if all are silent for a second', async () => {
    await start();
    const streams = readStreams(STREAMS);
    await wait(400);
    const end = silence(SERVERS);
    await wait(SILENCE_MS);
    end();
    expect(countWhole(await streams)).to.equal(STREAMS);
    expect(listUselessRetries()).to.deep.equal([]);
  });

  it('are whole if the configuration changes shortly before', async () => {
    await start();
    const streams = readStreams(STREAMS);
    await wait(300);
    putConfig(TIMEOUT_MS - 500);
    await wait(300);
    const end = silence(SERVERS);
    await wait(SILENCE_MS);
    end();
    expect(countWhole(await streams)).to.equal(STREAMS);
  });

  it('are whole if all servers are silent from before the first event', async () => {
    await start();
    const end = silence(SERVERS);
    const streams = readStreams(STREAMS);
    await wait(2 * SILENCE_MS);
    end();
    expect(countWhole(await streams)).to.equal(STREAMS);
  });

  it('are whole without retries if some servers are silent for a second', async () => {
    system.retryRatio = 0;
    await start();
    const streams = readStreams(STREAMS);
    await wait(400);
    const end = silence(4);
    await wait(SILENCE_MS);
    end();
    expect(countWhole(await streams)).to.equal(STREAMS);
  });

  it('go on at other servers, as far as retries allow, if theirs stay silent', async () => {
    system.retryRatio = AMPLE_RETRY_RATIO;
    await start();
    const streams = readStreams(STREAMS);
    await wait(400);
    silence(4);
    expect(countWhole(await streams)).to.equal(STREAMS);
  });
});
