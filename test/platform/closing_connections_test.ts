import {expect} from 'chai';
import {CatalogStore} from '../../src/catalog/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {AnswerSink, RelayRequest} from '../../src/relay/index.js';
import {SystemClock} from '../../src/time/index.js';
import {Frontend} from '../../platform/frontend.js';
import {createRoute} from '../relay/route_fixture.js';
import {
  CONNECTION_LIMITS,
  createBodyMemory,
} from './fakes/create_body_memory.js';
import {KeptConnection} from './fakes/kept_connection.js';

const PATH = '/a/';
const STEP_MS = 5;
/** Time in which a request that is passed on arrives at the relay, in milliseconds. */
const SETTLE_MS = 60;

/** A request that was passed on. */
interface PassedRequest {
  readonly sink: AnswerSink;
  readonly disconnected: AbortSignal;
}

/**
 * Guards against requests that are run although their answer cannot be sent any more: the
 * connection has ended, or ends with the answer to another request.
 */
describe('Frontend, on connections that end', () => {
  let frontend: Frontend;
  let connection: KeptConnection;
  let passed: Map<string, PassedRequest>;

  beforeEach(async () => {
    passed = new Map();
    const catalog = new CatalogStore(new SilentLog());
    frontend = new Frontend({
      clock: new SystemClock(),
      random: new SeededRandom(1),
      bodyMemory: createBodyMemory(new SystemClock()),
      connectionLimits: CONNECTION_LIMITS,
      log: new SilentLog(),
      metrics: new Metrics(),
      catalog,
      isInitialized: () => true,
      relay: {
        serve: (request: RelayRequest, sink, disconnected) => {
          passed.set(request.id, {sink, disconnected});
          return Promise.resolve();
        },
      },
    });
    catalog.offer(
      {
        version: 1,
        routes: [createRoute({prefix: PATH, timeoutMs: 5000})],
        services: new Map(),
        accounts: [],
        limits: {
          headerBytes: 2000,
          bodyBytes: 1000,
          headerTimeoutMs: 1000,
          idleTimeoutMs: 2000,
        },
      },
      'test',
    );
    await frontend.listen('127.0.0.1', 0);
    connection = new KeptConnection(`127.0.0.1:${frontend.getPort()}`, {
      Host: 'h',
    });
    await connection.connected();
  });

  afterEach(() => {
    connection.close();
    frontend.stop();
  });

  async function waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await new Promise(resolve => setTimeout(resolve, STEP_MS));
    }
  }

  /** Sends requests, and waits until the first of them is passed on. */
  async function send(...ids: readonly [string, ...string[]]): Promise<void> {
    connection.send(PATH, ...ids);
    await waitUntil(() => passed.has(ids[0]));
  }

  /** Waits for the time in which a request would be passed on. */
  function settle(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  }

  function begin(id: string): void {
    passed.get(id)?.sink.begin(200, [
      ['Request-Id', id],
      ['Content-Length', '2'],
    ]);
  }

  async function end(id: string): Promise<void> {
    await passed.get(id)?.sink.write(Buffer.from('ok'));
    passed.get(id)?.sink.end();
  }

  async function answer(id: string): Promise<void> {
    begin(id);
    await end(id);
  }

  function listAnswers(): readonly (readonly [string, number, boolean])[] {
    return connection
      .listAnswers()
      .map(({id, status, closes}) => [id, status, closes] as const);
  }

  describe('of a host that drains', () => {
    // Guards against an answer in flight at SIGTERM that promises a kept connection.
    it('announces the end in an answer that was in flight', async () => {
      await send('a');
      frontend.startDraining();
      await answer('a');
      await waitUntil(() => connection.isEnded);
      expect(listAnswers()).to.deep.equal([['a', 200, true]]);
    });

    it('ignores a request that crosses the announced end', async () => {
      await send('a');
      frontend.startDraining();
      begin('a');
      connection.send(PATH, 'b');
      await settle();
      await end('a');
      await waitUntil(() => connection.isEnded);
      connection.send(PATH, 'c');
      await settle();
      expect([...passed.keys()]).to.deep.equal(['a']);
      expect(connection.received).to.match(/ok$/);
    });

    // Guards against the pair of which the first answer ends the connection.
    for (const moment of ['before', 'after'] as const) {
      it(`answers both of a pair sent ${moment} draining began`, async () => {
        if (moment === 'before') {
          await send('a', 'b');
          frontend.startDraining();
        } else {
          frontend.startDraining();
          await send('a', 'b');
        }
        await settle();
        await answer('a');
        await waitUntil(() => passed.has('b'));
        await answer('b');
        await waitUntil(() => connection.isEnded);
        expect(listAnswers()).to.deep.equal([
          ['a', 200, false],
          ['b', 200, true],
        ]);
      });
    }

    // Guards against the end of a connection whose head had gone out before SIGTERM.
    it('answers a request that crosses the end of a long answer', async () => {
      await send('a');
      begin('a');
      await waitUntil(() => connection.listAnswers().length === 1);
      frontend.startDraining();
      await end('a');
      await waitUntil(() => connection.received.endsWith('ok'));
      await send('b');
      await answer('b');
      await waitUntil(() => connection.isEnded);
      expect(listAnswers()).to.deep.equal([
        ['a', 200, false],
        ['b', 200, true],
      ]);
    });
  });

  describe('of a host that has stopped listening', () => {
    it('ends after a long answer at once, and passes on nothing that follows', async () => {
      await send('a');
      begin('a');
      await waitUntil(() => connection.listAnswers().length === 1);
      frontend.startDraining();
      frontend.stopListening();
      await end('a');
      await waitUntil(() => connection.isEnded);
      connection.send(PATH, 'b');
      await settle();
      expect([...passed.keys()]).to.deep.equal(['a']);
      expect(connection.received).to.match(/ok$/);
    });

    // Guards against a caller that waits for the answer to a request that is never passed on.
    it('refuses as not run what waits behind a long answer', async () => {
      await send('a', 'b');
      begin('a');
      frontend.startDraining();
      frontend.stopListening();
      await end('a');
      await waitUntil(() => connection.isEnded);
      expect([...passed.keys()]).to.deep.equal(['a']);
      expect(listAnswers()).to.deep.equal([
        ['a', 200, false],
        ['b', 503, true],
      ]);
      expect(connection.received).to.contain('"ran":"no"');
    });

    // Guards against a caller whose new connection ends before its request is read.
    it('refuses the first request of a connection as not run', async () => {
      frontend.startDraining();
      frontend.stopListening();
      connection.send(PATH, 'a');
      await waitUntil(() => connection.isEnded);
      expect(passed.size).to.equal(0);
      expect(listAnswers()).to.deep.equal([['a', 503, true]]);
    });

    it('ends a connection on which no request arrives', async () => {
      frontend.startDraining();
      frontend.stopListening();
      await waitUntil(() => connection.isEnded);
      expect(connection.received).to.equal('');
    });

    it('passes on nothing that arrives on a connection without a request', async () => {
      await send('a');
      await answer('a');
      await waitUntil(() => connection.received.endsWith('ok'));
      frontend.startDraining();
      frontend.stopListening();
      connection.send(PATH, 'b');
      await waitUntil(() => connection.isEnded);
      await settle();
      expect([...passed.keys()]).to.deep.equal(['a']);
    });

    it('counts no connection as busy whose callers were reset', async () => {
      await send('a', 'b');
      connection.socket.resetAndDestroy();
      await waitUntil(() => frontend.countBusyConnections() === 0);
      expect(passed.get('a')?.disconnected.aborted).to.equal(true);
      await settle();
      expect([...passed.keys()]).to.deep.equal(['a']);
    });
  });

  describe('for other reasons', () => {
    it('passes on no request behind one that closes the connection', async () => {
      connection.write(
        connection.format(PATH, 'a', ['Connection: close']) +
          connection.format(PATH, 'b'),
      );
      await waitUntil(() => passed.has('a'));
      await settle();
      await answer('a');
      await waitUntil(() => connection.isEnded);
      expect([...passed.keys()]).to.deep.equal(['a']);
      expect(listAnswers()).to.deep.equal([['a', 200, true]]);
    });

    // Guards against an answer that is lost to what its caller sent after the request.
    it('answers a request behind which something arrives that is none', async () => {
      await send('a');
      connection.write('no request\r\n\r\n');
      await settle();
      await answer('a');
      await waitUntil(() => connection.isEnded);
      expect(listAnswers()).to.deep.equal([['a', 200, true]]);
    });

    it('answers a request behind which the head of another is never complete', async () => {
      await send('a');
      connection.write(connection.format(PATH, 'b').slice(0, 20));
      await new Promise(resolve => setTimeout(resolve, 1600));
      await answer('a');
      await waitUntil(() => connection.isEnded);
      expect(listAnswers()).to.deep.equal([['a', 200, true]]);
    });

    it('passes on no request behind an answer that is broken off', async () => {
      await send('a', 'b');
      begin('a');
      passed.get('a')?.sink.disconnect();
      await waitUntil(() => connection.socket.destroyed || connection.isEnded);
      await settle();
      expect([...passed.keys()]).to.deep.equal(['a']);
    });

    it('answers the requests before too many that wait', async () => {
      const ids = Array.from({length: 70}, (_, index) => `r${index}`);
      connection.send(PATH, ...ids);
      for (const id of ids.slice(0, 64)) {
        await waitUntil(() => passed.has(id));
        await answer(id);
      }
      await waitUntil(() => connection.isEnded);
      expect(passed.size).to.equal(64);
      expect(listAnswers().at(-1)).to.deep.equal(['r63', 200, true]);
    });

    // Guards against a listener for each request on the socket of its connection.
    it('adds no listeners to the connection for each request', async () => {
      const warnings: Error[] = [];
      const onWarning = (warning: Error) => warnings.push(warning);
      process.on('warning', onWarning);
      const ids = Array.from({length: 30}, (_, index) => `r${index}`);
      connection.send(PATH, ...ids);
      await waitUntil(() => passed.has('r0'));
      await settle();
      process.off('warning', onWarning);
      expect(warnings).to.deep.equal([]);
    });
  });
});
