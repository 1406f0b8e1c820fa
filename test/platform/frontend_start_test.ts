import {connect} from 'node:net';
import {expect} from 'chai';
import {CatalogStore} from '../../src/catalog/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {SystemClock} from '../../src/time/index.js';
import {Frontend} from '../../platform/frontend.js';
import {createRoute} from '../relay/route_fixture.js';
import {
  CONNECTION_LIMITS,
  createBodyMemory,
} from './fakes/create_body_memory.js';

/** Status of a response without a body. */
const NO_CONTENT = 204;

describe('Frontend, on a host that has just started', () => {
  const clock = new SystemClock();
  let catalog: CatalogStore;
  let frontend: Frontend;
  let url: string;
  let served: string[];

  beforeEach(async () => {
    served = [];
    catalog = new CatalogStore(new SilentLog());
    frontend = new Frontend({
      clock,
      random: new SeededRandom(1),
      bodyMemory: createBodyMemory(clock),
      connectionLimits: CONNECTION_LIMITS,
      log: new SilentLog(),
      metrics: new Metrics(),
      catalog,
      isInitialized: () => catalog.getView() !== undefined,
      relay: {
        serve: async (request, sink) => {
          served.push(request.id);
          sink.begin(NO_CONTENT, []);
          sink.end();
        },
      },
    });
    await frontend.listen('127.0.0.1', 0);
    url = `http://127.0.0.1:${frontend.getPort()}/a/`;
  });

  afterEach(() => frontend.stop());

  function sendRequest(): Promise<Response> {
    return fetch(url, {headers: {'Request-Id': 'r1'}});
  }

  function offerCatalog(): void {
    catalog.offer(
      {
        version: 1,
        routes: [createRoute({host: '127.0.0.1', prefix: '/a/'})],
        services: new Map(),
        accounts: [],
        limits: {
          headerBytes: 2000,
          bodyBytes: 4000,
          headerTimeoutMs: 1000,
          idleTimeoutMs: 2000,
        },
      },
      'test',
    );
  }

  it('makes requests wait for the configuration', async () => {
    const answer = sendRequest();
    await clock.sleep(50);
    offerCatalog();
    expect((await answer).status).to.equal(NO_CONTENT);
  });

  it('refuses requests if none arrives, and without a wait from then on', async () => {
    expect((await sendRequest()).status).to.equal(503);
    const startMs = clock.monotonicMs();
    expect((await sendRequest()).status).to.equal(503);
    expect(clock.monotonicMs() - startMs).to.be.lessThan(900);
  });

  it('accepts nothing after a malformed request that waited', async () => {
    const socket = connect(frontend.getPort(), '127.0.0.1');
    let answers = '';
    socket.on('data', bytes => (answers += String(bytes)));
    const head = 'POST /a/ HTTP/1.1\r\nHost: 127.0.0.1\r\n';
    const inner = `${head}Request-Id: inner\r\nContent-Length: 0\r\n\r\n`;
    socket.write(
      `${head}Request-Id: r1\r\nRequest-Id: r2\r\nContent-Length: 0\r\n\r\n`,
    );
    await clock.sleep(15);
    socket.write(inner);
    await clock.sleep(50);
    offerCatalog();
    await new Promise(resolve => socket.once('close', resolve));
    expect(answers).to.match(/^HTTP\/1\.1 400 /);
    expect(served).to.deep.equal([]);
  });
});
