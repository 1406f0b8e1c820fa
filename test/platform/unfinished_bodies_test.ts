import {connect, Socket} from 'node:net';
import {expect} from 'chai';
import {parseAddress} from '../../src/http/index.js';
import {formatRequestHead, formatTinyChunks} from './fakes/crowd.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

const CHUNKED = 'Transfer-Encoding: chunked';
const DEADLINE = 'Deadline-Remaining: 300';

/**
 * Guards against requests that never end: they hold memory and a descriptor, and no answer tells
 * their caller that they have not run.
 */
describe('a body that does not arrive before the deadline of its request', () => {
  let system: TestSystem;
  let host: RunningHost;
  let sockets: Socket[];

  beforeEach(async () => {
    sockets = [];
    system = new TestSystem();
    system.bootstrap = true;
    await system.start();
    [host] = (await system.startHosts(['front-1'])) as [RunningHost];
  });

  afterEach(async () => {
    for (const socket of sockets) {
      socket.destroy();
    }
    await system.stop();
  });

  /** Sends bytes, and returns all that the host sends until it closes the connection. */
  function exchange(bytes: string): Promise<string> {
    const socket = connect(parseAddress(host.callers));
    sockets.push(socket);
    let received = '';
    socket.on('data', piece => (received += String(piece)));
    socket.on('error', () => undefined);
    socket.write(bytes);
    return new Promise(resolve =>
      socket.once('close', () => resolve(received)),
    );
  }

  const unfinished: Readonly<Record<string, string>> = {
    'no byte of a body with a length': formatRequestHead('u', [
      DEADLINE,
      'Content-Length: 100',
    ]),
    'all but a byte of a body with a length':
      formatRequestHead('u', [DEADLINE, 'Content-Length: 100']) +
      'x'.repeat(99),
    'a body without its last chunk':
      formatRequestHead('u', [DEADLINE, CHUNKED]) + formatTinyChunks(10),
    'a body without the end of its trailers': `${
      formatRequestHead('u', [DEADLINE, CHUNKED]) + formatTinyChunks(10)
    }0\r\nX-Trailer: x\r\n`,
    'a chunk without the end of its extensions': `${
      formatRequestHead('u', [DEADLINE, CHUNKED]) + formatTinyChunks(10)
    }1;extension=x`,
    'a body at the timeout of its route':
      formatRequestHead('u', [CHUNKED]) + formatTinyChunks(10),
  };
  for (const [name, bytes] of Object.entries(unfinished)) {
    it(`is refused as not run: ${name}`, async () => {
      const answer = await exchange(bytes);
      expect(answer).to.match(/^HTTP\/1.1 408 /);
      expect(answer).to.contain('Request-Id: u\r\n');
      expect(answer).to.contain('Connection: close\r\n');
      expect(answer).to.contain('"code":"body-too-slow"');
      const reached = system.servers.flatMap(({requests}) => requests);
      expect(reached).to.deep.equal([]);
    });
  }

  it('leaves a slow body that arrives before its deadline alone', async () => {
    const socket = connect(parseAddress(host.callers));
    sockets.push(socket);
    let received = '';
    socket.on('data', piece => (received += String(piece)));
    socket.write(formatRequestHead('s', ['Content-Length: 10']));
    for (let index = 0; index < 10; index++) {
      await new Promise(resolve => setTimeout(resolve, 50));
      socket.write('x');
    }
    await system.waitFor(() => received.includes('\r\n\r\n'));
    expect(received).to.match(/^HTTP\/1.1 200 /);
  });
});
