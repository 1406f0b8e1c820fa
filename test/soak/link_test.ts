import {ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {waitForClose} from '../../src/http/wait_for_close.js';
import {Link} from './link.js';

const PROGRAM = fileURLToPath(new URL('resetting_server.js', import.meta.url));
const CONNECTIONS = 30;
/** Time for which the event loop of the link stands still again and again, in milliseconds. */
const BLOCK_MS = 30;

describe('a link of the soak', () => {
  let child: ChildProcess | undefined;
  let link: Link;
  let blocking: NodeJS.Timeout;

  afterEach(() => {
    clearInterval(blocking);
    link.stop();
    child?.kill('SIGKILL');
  });

  // Guards against a link that ends a connection which the server has reset, so that a host
  // takes an answer that was broken off for complete.
  for (const kind of ['reset', 'close'] as const) {
    it(`passes on a ${kind}, also if it is late to notice it`, async () => {
      child = spawn(process.execPath, [PROGRAM, kind]);
      const [text] = await once(child.stdout ?? child, 'data');
      link = new Link(() => Number(text));
      const port = Number((await link.listen()).split(':')[1]);
      blocking = setInterval(block, BLOCK_MS);
      let closed = 0;
      for (let count = 0; count < CONNECTIONS; count++) {
        closed += (await request(port)) ? 1 : 0;
      }
      expect(closed).to.equal(kind === 'close' ? CONNECTIONS : 0);
    }).timeout(60_000);
  }

  // Guards against a connection that goes on with a gap in its bytes after a fault, which no
  // network does: the events of a stream that was silent meanwhile seemed to be lost by a host.
  it('resets a connection on which bytes were lost', async () => {
    let sent = 0;
    const send = (to: Socket) => to.write(`${++sent} `);
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => send(socket));
    });
    const port = await listen(server);
    link = new Link(() => port);
    const socket = connect(Number((await link.listen()).split(':')[1]));
    let received = '';
    socket.on('data', bytes => (received += String(bytes)));
    const closes = waitForClose(socket);
    for (const oneWay of [false, true, false]) {
      link.faults.oneWay = oneWay;
      socket.write('next');
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    expect(await closes).to.equal(false);
    expect(received).to.equal('1 ');
    server.close();
  });
});

async function listen(server: Server): Promise<number> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

function block(): void {
  const endMs = performance.now() + BLOCK_MS;
  while (performance.now() < endMs) {
    // The event loop stands still.
  }
}

/** Sends a request; resolves to whether the connection was closed and not reset. */
async function request(port: number): Promise<boolean> {
  const socket = connect({host: '127.0.0.1', port});
  const closes = waitForClose(socket);
  socket.resume();
  socket.write('GET / HTTP/1.1\r\nRequest-Id: r\r\n\r\n');
  const isClosed = await closes;
  socket.destroy();
  return isClosed;
}
