import {connect, Socket} from 'node:net';
import {expect} from 'chai';
import {parseAddress} from '../../src/http/index.js';
import {formatRequestHead} from './fakes/crowd.js';
import {answerWith} from './fakes/fake_server.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

/** More than the buffers of the system hold for a connection. */
const ANSWER_BYTES = 16_000_000;

/** Guards against answers that are never read: each holds memory and a descriptor for good. */
describe('a caller that does not read its answer', function () {
  this.timeout(60_000);
  let system: TestSystem;
  let host: RunningHost;
  let socket: Socket;

  beforeEach(async () => {
    system = new TestSystem();
    system.bootstrap = true;
    for (const server of system.servers) {
      server.script = answerWith('a'.repeat(ANSWER_BYTES));
    }
    await system.start();
    system.putConfig({
      routes: [system.createRoute('/a/', {timeout_ms: 600_000})],
    });
    [host] = (await system.startHosts(['front-1'])) as [RunningHost];
    socket = connect(parseAddress(host.callers));
    socket.on('error', () => undefined);
    socket.write(formatRequestHead('u', [], 'GET'));
  });

  afterEach(async () => {
    socket.destroy();
    await system.stop();
  });

  async function readMetric(name: string): Promise<number> {
    const {body} = await system.get(host.metrics, '/metrics');
    const line = body.split('\n').find(text => text.startsWith(name));
    return Number(line?.split(' ')[1] ?? 0);
  }

  it('loses its connection, though the deadline is far', async () => {
    await system.waitFor(
      async () => (await readMetric('sedgefall_channels_open')) === 1,
    );
    await system.waitFor(
      async () => (await readMetric('sedgefall_channels_open')) === 0,
    );
    const evicted = 'sedgefall_connections_evicted{reason="stalled"}';
    expect(await readMetric(evicted)).to.equal(1);
  });

  it('keeps its connection if it reads slowly', async () => {
    let received = 0;
    socket.on('data', piece => {
      received += piece.length;
      socket.pause();
      setTimeout(() => socket.resume(), 2);
    });
    await system.waitFor(() => received > ANSWER_BYTES);
    const evicted = 'sedgefall_connections_evicted{reason="stalled"}';
    expect(await readMetric(evicted)).to.equal(0);
  });
});
