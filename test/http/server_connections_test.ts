import {createServer, IncomingMessage, Server} from 'node:http';
import {AddressInfo, connect, Socket} from 'node:net';
import {expect} from 'chai';
import {
  AnnouncedResponse,
  ConnectionLimits,
  EvictionReason,
  ServerConnections,
} from '../../src/http/index.js';
import {SystemClock} from '../../src/time/index.js';

const POLL_MS = 5;
const HEAD = 'POST / HTTP/1.1\r\nHost: h\r\n';
const REQUEST = `${HEAD}Content-Length: 1\r\n\r\nx`;
const UNFINISHED = `${HEAD}Content-Length: 2\r\n\r\nx`;
/** More than a connection with one request takes. */
const AMPLE_BYTES = 1_000_000;
/** Room for six connections without a request, or three with one. */
const FEW_BYTES = 50_000;

/** Guards against connections of ordinary callers that are closed to make room for a crowd. */
describe('ServerConnections', () => {
  let server: Server<typeof IncomingMessage, typeof AnnouncedResponse>;
  let connections: ServerConnections;
  let evicted: EvictionReason[];
  let closed: string[];
  let sockets: Socket[];

  beforeEach(() => {
    [evicted, closed, sockets] = [[], [], []];
  });

  afterEach(() => {
    for (const socket of sockets) {
      socket.destroy();
    }
    connections.stopChecks();
    server.close();
  });

  /** Starts a server that answers requests whose body is complete, except those of `/held`. */
  async function start(limits: ConnectionLimits): Promise<void> {
    connections = new ServerConnections({
      clock: new SystemClock(),
      limits,
      onIgnored: () => undefined,
      onEvicted: reason => evicted.push(reason),
      getStallMs: () => Number.POSITIVE_INFINITY,
    });
    connections.start();
    server = createServer(
      {ServerResponse: AnnouncedResponse},
      (message, response) => {
        const request = connections.accept(message, response);
        message.resume();
        message.once('end', () => {
          if (request !== undefined) {
            request.isPassedOn = true;
          }
          if (message.headers['x-held'] === undefined) {
            response.end('answer');
          }
        });
      },
    );
    server.on('connection', socket => connections.add(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  }

  /** Opens a connection and sends bytes; waits until the server has accepted it. */
  async function open(name: string, bytes = ''): Promise<Socket> {
    const {port} = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => closed.push(name));
    socket.resume();
    const accepted = new Promise(resolve => server.once('connection', resolve));
    socket.write(bytes);
    await accepted;
    await pause();
    return socket;
  }

  function pause(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, POLL_MS * 4));
  }

  async function waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  const held = REQUEST.replace('Host: h', 'Host: h\r\nX-Held: 1');

  it('closes the one without a request that is open for longest', async () => {
    await start({count: 3, bytes: AMPLE_BYTES});
    for (const name of ['a', 'b', 'c', 'd']) {
      await open(name);
    }
    await waitUntil(() => closed.length > 0);
    expect(closed).to.deep.equal(['a']);
    expect(evicted).to.deep.equal([EvictionReason.DESCRIPTORS]);
  });

  it('closes no connection that is kept between requests, or whose request is passed on', async () => {
    await start({count: 3, bytes: AMPLE_BYTES});
    await open('kept', REQUEST);
    await open('passed on', held);
    for (const name of ['a', 'b', 'c']) {
      await open(name, UNFINISHED);
    }
    await waitUntil(() => closed.length >= 2);
    expect(closed).to.deep.equal(['a', 'b']);
  });

  it('closes a new connection if no other can yield', async () => {
    await start({count: 2, bytes: AMPLE_BYTES});
    await open('kept', REQUEST);
    await open('passed on', held);
    await open('new');
    await waitUntil(() => closed.length > 0);
    expect(closed).to.deep.equal(['new']);
  });

  it('closes the one that has taken most memory for longest', async () => {
    await start({count: 100, bytes: FEW_BYTES});
    await open('unfinished', UNFINISHED);
    await open('idle');
    for (const name of ['a', 'b', 'c', 'd']) {
      await open(name);
    }
    await waitUntil(() => closed.length > 0);
    expect(closed).to.deep.equal(['unfinished']);
    expect(evicted).to.deep.equal([EvictionReason.MEMORY]);
  });

  it('closes one that sends many requests behind one that was passed on', async () => {
    await start({count: 100, bytes: FEW_BYTES});
    await open('kept', REQUEST);
    await open('many', held + REQUEST.repeat(20));
    await waitUntil(() => closed.length > 0);
    expect(closed).to.deep.equal(['many']);
  });

  it('counts nothing once all connections are closed', async () => {
    await start({count: 100, bytes: AMPLE_BYTES});
    await open('kept', REQUEST);
    await open('many', held + REQUEST.repeat(5));
    await open('unfinished', UNFINISHED);
    expect(connections.getBytes()).to.be.above(0);
    for (const socket of sockets) {
      socket.destroy();
    }
    await waitUntil(() => connections.count() === 0);
    expect(connections.getBytes()).to.equal(0);
  });
});
