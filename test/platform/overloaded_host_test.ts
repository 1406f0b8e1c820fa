import {once} from 'node:events';
import {connect, Socket} from 'node:net';
import {expect} from 'chai';
import {CatalogStore} from '../../src/catalog/index.js';
import {problems} from '../../src/errors/index.js';
import {afterPoll} from '../../src/host_load/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {RelayRequest} from '../../src/relay/index.js';
import {SystemClock} from '../../src/time/index.js';
import {Frontend} from '../../platform/frontend.js';
import {createRoute} from '../relay/route_fixture.js';
import {
  CONNECTION_LIMITS,
  createBodyMemory,
} from './fakes/create_body_memory.js';

const HEAD = 'POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n';
const READ_DELAY_MS = 150;

describe('Frontend, on an overloaded host', () => {
  const clock = new SystemClock();
  let frontend: Frontend;
  let socket: Socket;
  let received: string;
  let served: RelayRequest[];
  let isRefusing: boolean;
  let isShedding: boolean;
  let isLate: boolean;
  let unsent: number;

  beforeEach(async () => {
    served = [];
    received = '';
    isRefusing = false;
    isShedding = false;
    isLate = false;
    unsent = 0;
    const catalog = new CatalogStore(new SilentLog());
    frontend = new Frontend({
      clock,
      random: new SeededRandom(1),
      bodyMemory: createBodyMemory(clock),
      connectionLimits: CONNECTION_LIMITS,
      log: new SilentLog(),
      metrics: new Metrics(),
      catalog,
      isInitialized: () => true,
      relay: {
        serve: async (request, sink) => {
          served.push(request);
          expect(unsent).to.equal(1);
          request.onSend?.();
          sink.begin(204, []);
          sink.end();
        },
      },
      hostLoad: {
        estimateArrivalMs: () => clock.monotonicMs() - READ_DELAY_MS,
        handlePendingEvents: () =>
          isLate ? new Promise(resolve => afterPoll(resolve)) : undefined,
        addConnection: () => undefined,
        shedsConnection: () => isShedding,
        acceptConnections: () => undefined,
        refuse: () =>
          isRefusing
            ? {problem: problems.hostOverloaded(0.3), fields: {}}
            : undefined,
        track: () => {
          unsent++;
          return {addSend: () => (unsent = 0), end: () => (unsent = 0)};
        },
      },
    });
    catalog.offer(
      {
        version: 1,
        routes: [createRoute({prefix: '/a/', timeoutMs: 2000})],
        services: new Map(),
        accounts: [],
        limits: {
          headerBytes: 2000,
          bodyBytes: 1_000_000,
          headerTimeoutMs: 1000,
          idleTimeoutMs: 2000,
        },
      },
      'test',
    );
    await frontend.listen('127.0.0.1', 0);
    socket = connect(frontend.getPort(), '127.0.0.1');
    socket.on('data', bytes => (received += String(bytes)));
    await once(socket, 'connect');
  });

  afterEach(() => {
    socket.destroy();
    frontend.stop();
  });

  it('refuses a request before its body has arrived, without a reset', async () => {
    isRefusing = true;
    const body = 'x'.repeat(500_000);
    const startMs = clock.monotonicMs();
    socket.write(`${HEAD}Content-Length: ${body.length}\r\n\r\n`);
    await once(socket, 'data');
    expect(clock.monotonicMs() - startMs).to.be.lessThan(50);
    expect(received).to.match(/^HTTP\/1\.1 503 .*Retry-After: 0\.300\r\n/s);
    expect(received).to.include('Connection: close');
    // The body may contain anything, also what looks like a request.
    isRefusing = false;
    socket.write(body);
    socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
    await once(socket, 'close');
    expect(clock.monotonicMs() - startMs).to.be.lessThan(900);
    expect(served).to.deep.equal([]);
  });

  // Guards against a request that a host reads and does not serve.
  it('closes a connection unread that it sheds, so that its caller can go elsewhere', async () => {
    isShedding = true;
    const shed = connect(frontend.getPort(), '127.0.0.1');
    shed.on('error', () => undefined);
    shed.write(`${HEAD}Content-Length: 0\r\n\r\n`);
    await once(shed, 'close');
    expect(shed.bytesRead).to.equal(0);
    expect(served).to.deep.equal([]);
  });

  it('closes the connection in the end if the body never arrives', async () => {
    isRefusing = true;
    socket.write(`${HEAD}Content-Length: 5\r\n\r\n`);
    await once(socket, 'close');
    expect(received.match(/HTTP\/1\.1/g)).to.have.length(1);
  });

  it('counts the deadline from the estimated arrival', async () => {
    socket.write(
      `${HEAD}Deadline-Remaining: 1000\r\nContent-Length: 0\r\n\r\n`,
    );
    await once(socket, 'data');
    const [request] = served;
    const remainingMs = (request?.deadlineMs ?? 0) - clock.monotonicMs();
    expect(remainingMs).to.be.within(500, 1000 - READ_DELAY_MS);
    expect(unsent).to.equal(0);
  });

  for (const late of [false, true]) {
    const name = late
      ? 'passes on no request whose caller closed while the event loop was late'
      : 'does not look for the close on each request of a loop that is on time';
    it(name, async () => {
      isLate = late;
      socket.write(`${HEAD}Content-Length: 0\r\n\r\n`);
      socket.end();
      // Both wait in the kernel while the event loop is busy.
      const untilMs = clock.monotonicMs() + 50;
      while (clock.monotonicMs() < untilMs) {
        // Waits without yielding.
      }
      await once(socket, 'close');
      expect(served.length).to.equal(late ? 0 : 1);
    });
  }
});
