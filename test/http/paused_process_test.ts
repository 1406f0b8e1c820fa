import {expect} from 'chai';
import {request} from 'node:http';
import {createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';
import {
  refusesConnections,
  sendJson,
  whenConnected,
} from '../../src/http/index.js';
import {findFreePorts} from '../../src/trial/index.js';

const TIMEOUT_MS = 80;
const PAUSE_MS = 200;
const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"xxxxxxxxxx"';

// Guards against connections and answers that are given up because this process stood
// still: they wait in the kernel, but timers fire before sockets are read.
describe('after a pause of this process that is longer than the timeout', () => {
  let server: Server;
  let accepted: Promise<Socket>;
  let port: number;

  beforeEach(async () => {
    server = createServer();
    accepted = new Promise(resolve => server.once('connection', resolve));
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    ({port} = server.address() as AddressInfo);
  });

  afterEach(() => server.close());

  /** Blocks the event loop. */
  function pause(ms: number): void {
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      // Nothing is read meanwhile.
    }
  }

  /** Sends a request; the process pauses as soon as all of the answer is sent. */
  async function sendWithPause(
    options: Pick<Parameters<typeof sendJson>[0], 'progress' | 'recalls'>,
  ): Promise<unknown> {
    const call = sendJson({
      method: 'GET',
      url: `http://127.0.0.1:${port}/`,
      timeoutMs: TIMEOUT_MS,
      ...options,
    });
    const socket = await accepted;
    socket.on('error', () => undefined);
    await new Promise(resolve => socket.once('data', resolve));
    socket.write(RESPONSE);
    pause(PAUSE_MS);
    const answer = await call;
    socket.destroy();
    return answer.isErr ? answer.error.detail : answer.value.body;
  }

  it('a connection that was opened meanwhile is used', async () => {
    const clientRequest = request({host: '127.0.0.1', port});
    const result = new Promise<string>(resolve => {
      clientRequest.on('error', error => resolve(error.message));
      whenConnected(clientRequest, TIMEOUT_MS, () => resolve('connected'));
    });
    await new Promise(resolve => clientRequest.once('socket', resolve));
    pause(PAUSE_MS);
    expect(await result).to.equal('connected');
    clientRequest.destroy();
  });

  it('a connection that was refused meanwhile counts as refused', async () => {
    const [unused] = await findFreePorts(1);
    const refused = refusesConnections(`127.0.0.1:${unused}`);
    pause(PAUSE_MS);
    expect(await refused).to.equal(true);
  });

  it('an answer of the store that arrived meanwhile is read', async () => {
    const progress = {silenceMs: TIMEOUT_MS, maxMs: 5000};
    expect(await sendWithPause({progress})).to.equal('xxxxxxxxxx');
  });

  it('an answer that arrived meanwhile to a request that must not arrive late is read', async () => {
    expect(await sendWithPause({recalls: true})).to.equal('xxxxxxxxxx');
  });
});
