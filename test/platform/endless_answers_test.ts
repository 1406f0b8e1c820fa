import {expect} from 'chai';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
  ENDLESS_EVENTS,
  ENDLESS_FRAMING,
  ENDLESS_HEADS,
  ENDLESS_REJECTIONS,
  EndlessAnswers,
  EndlessPart,
} from './fakes/endless_answers.js';
import {
  AMPLE_RETRY_RATIO,
  RunningHost,
  TestSystem,
} from './fakes/test_system.js';
import {
  readStream,
  ReceivedStream,
  streamVersion,
} from './fakes/versioned_streams.js';

/**
 * Guards against a server in trouble that blocks the event loop of a host or fills its memory
 * by bytes that are no answer: they were read until the deadline, or for good.
 */
describe('answers that do not end', () => {
  const SERVERS = 6;
  const ENDLESS_REQUESTS = 10;
  const OTHER_REQUESTS = 50;
  const TIMEOUT_MS = 6000;
  /** Bytes sent until a host must have closed: an event of 1 MiB, and as much in buffers. */
  const MAX_SENT_BYTES = 2 * 1024 * 1024;
  /** Time until a host must have closed, in milliseconds; the deadline is later. */
  const MAX_OPEN_MS = TIMEOUT_MS / 3;
  /** Memory that the connections may take in a host, in bytes. */
  const MAX_MEMORY_BYTES = 16_000_000;
  /** The target latency of the route, in milliseconds. */
  const MAX_LOOP_DELAY_MS = 300;
  const MEMORY_INTERVAL_MS = 20;
  /** Bytes of an event that stays incomplete but is not too long. */
  const HELD_BYTES = 900_000;
  /** Time in which bytes on the way arrive, in milliseconds. */
  const SETTLE_MS = 200;
  let system: TestSystem;
  let host: RunningHost;
  let endless: EndlessAnswers;

  afterEach(() => system.stop());

  /** Starts a host whose servers answer requests to `/s/endless` without end. */
  async function start(part: EndlessPart, resumable: boolean): Promise<void> {
    system = new TestSystem();
    system.slots = ENDLESS_REQUESTS + OTHER_REQUESTS;
    system.contracts = ['base', 'stream'];
    system.bootstrap = true;
    system.retryRatio = AMPLE_RETRY_RATIO;
    endless = new EndlessAnswers(part);
    const answerWhole = streamVersion(() => ({
      version: 'v1',
      eventCount: 5,
      getEventsBeforeEnd: () => Infinity,
    }));
    system.addServers(SERVERS, server => (socket, request) => {
      const isFirst = request.headers.get('last-event-id') === undefined;
      const script =
        request.line.includes('endless') &&
        isFirst &&
        (!resumable || endless.connections.length < ENDLESS_REQUESTS)
          ? endless.script
          : answerWhole(server);
      script(socket, request);
    });
    await system.start();
    system.putConfig({
      routes: [
        system.createRoute('/s/', {
          kind: 'streaming',
          resumable,
          max_attempts: 4,
          timeout_ms: TIMEOUT_MS,
        }),
      ],
    });
    [host] = (await system.startHosts(['front-1'])) as [RunningHost];
  }

  function readStreams(
    path: string,
    count: number,
  ): Promise<readonly ReceivedStream[]> {
    return Promise.all(
      Array.from({length: count}, (_, index) =>
        readStream(host, {
          id: `${path}-${index}`,
          path,
          headers: {'Deadline-Remaining': String(TIMEOUT_MS)},
        }),
      ),
    );
  }

  function countWhole(streams: readonly ReceivedStream[]): number {
    return streams.filter(({isWhole, ids}) => isWhole && ids.length === 5)
      .length;
  }

  /** Waits until hosts have closed all connections whose answers do not end. */
  async function expectClosed(): Promise<void> {
    await system.waitFor(() =>
      endless.connections.every(
        ({closedMs, requestedMs}) =>
          closedMs !== undefined ||
          performance.now() - requestedMs > MAX_OPEN_MS,
      ),
    );
    expect(endless.connections).to.have.length.at.least(ENDLESS_REQUESTS);
    for (const {
      closedMs = Infinity,
      requestedMs,
      sentBytes,
    } of endless.connections) {
      expect(closedMs - requestedMs, 'time').to.be.below(MAX_OPEN_MS);
      expect(sentBytes, 'sent bytes').to.be.below(MAX_SENT_BYTES);
    }
  }

  const groups = [
    {name: 'in an event', parts: ENDLESS_EVENTS},
    {name: 'before a body', parts: ENDLESS_HEADS},
    {name: 'in the framing', parts: ENDLESS_FRAMING},
    {name: 'in what is not relayed', parts: ENDLESS_REJECTIONS},
  ];
  for (const {name, parts} of groups) {
    describe(name, () => {
      for (const part of parts) {
        it(`are closed: ${part.name}`, async () => {
          await start(part, false);
          const streams = readStreams('/s/endless', ENDLESS_REQUESTS);
          const others = await readStreams('/s/other', OTHER_REQUESTS);
          expect(countWhole(others)).to.equal(OTHER_REQUESTS);
          await expectClosed();
          await streams;
        });
      }
    });
  }

  describe('in an event', () => {
    for (const part of ENDLESS_EVENTS) {
      it(`are replaced by another server's: ${part.name}`, async () => {
        await start(part, true);
        const streams = await readStreams('/s/endless', ENDLESS_REQUESTS);
        expect(countWhole(streams)).to.equal(ENDLESS_REQUESTS);
        await expectClosed();
      });
    }

    it('neither fill the memory nor block the event loop', async () => {
      await start(ENDLESS_EVENTS[0] as EndlessPart, false);
      await readStreams('/s/other', OTHER_REQUESTS);
      const loopDelay = monitorEventLoopDelay({resolution: 5});
      const readMemory = createMemoryReader();
      const before = readMemory();
      const grownBytes: number[] = [];
      const timer = setInterval(
        () => grownBytes.push(readMemory() - before),
        MEMORY_INTERVAL_MS,
      );
      loopDelay.enable();
      await readStreams('/s/endless', ENDLESS_REQUESTS);
      loopDelay.disable();
      clearInterval(timer);
      expect(grownBytes).to.have.length.above(0);
      expect(Math.max(...grownBytes)).to.be.below(MAX_MEMORY_BYTES);
      expect(loopDelay.max / 1e6).to.be.below(MAX_LOOP_DELAY_MS);
    });

    it('take no more than the longest event each while they are open', async () => {
      const part = ENDLESS_EVENTS[0] as EndlessPart;
      await start(part, false);
      await readStreams('/s/other', OTHER_REQUESTS);
      endless.maxSentBytes = HELD_BYTES;
      const readMemory = createMemoryReader();
      const before = readMemory();
      const streams = readStreams('/s/endless', ENDLESS_REQUESTS);
      await system.waitFor(
        () => endless.countSent(HELD_BYTES) === ENDLESS_REQUESTS,
      );
      await system.waitFor(() => readMemory() - before > HELD_BYTES);
      await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
      expect(readMemory() - before).to.be.below(MAX_MEMORY_BYTES);
      await streams;
    });
  });
});

/** Creates a function that returns the memory in use after a garbage collection, in bytes. */
function createMemoryReader(): () => number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  return () => {
    collect();
    const {heapUsed, external} = process.memoryUsage();
    return heapUsed + external;
  };
}
