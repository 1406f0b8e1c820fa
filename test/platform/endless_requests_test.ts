import {expect} from 'chai';
import {connect} from 'node:net';
import {parseAddress} from '../../src/http/index.js';
import {answerWith} from './fakes/fake_server.js';
import {KEY, RunningHost, TestSystem} from './fakes/test_system.js';

/**
 * Guards against a caller that takes the memory and the event loop of a host by requests on one
 * connection that do not wait for an answer.
 */
describe('requests without end on one connection', () => {
  const CONNECTIONS = 5;
  const MAX_OPEN_REQUESTS = 64;
  /** Requests written at once. */
  const BATCH = 100;
  const BATCH_INTERVAL_MS = 2;
  const OTHER_REQUESTS = 20;
  let system: TestSystem;
  let host: RunningHost;
  let sent: number;

  beforeEach(async () => {
    system = new TestSystem();
    system.bootstrap = true;
    system.slots = 1000;
    sent = 0;
    system.addServers(4, () => (socket, request) => {
      if (!request.line.includes('/hanging')) {
        answerWith('whole')(socket, request);
      }
    });
    await system.start();
    [host] = (await system.startHosts(['front-1'])) as [RunningHost];
  });

  afterEach(() => system.stop());

  function formatRequests(count: number): string {
    const requests = Array.from({length: count}, () =>
      [
        'GET /a/hanging HTTP/1.1',
        'Host: desk.example',
        `Request-Id: p${++sent}`,
        `Credential: ${KEY}`,
        '',
        '',
      ].join('\r\n'),
    );
    return requests.join('');
  }

  /** Sends requests until the host closes the connection. */
  function sendWithoutEnd(): Promise<void> {
    const socket = connect(parseAddress(host.callers));
    const timer = setInterval(() => {
      if (!socket.writableNeedDrain && !socket.destroyed) {
        socket.write(formatRequests(BATCH));
      }
    }, BATCH_INTERVAL_MS);
    socket.on('error', () => undefined);
    return new Promise(resolve =>
      socket.once('close', () => {
        clearInterval(timer);
        resolve();
      }),
    );
  }

  function countHanging(): number {
    return system.servers
      .flatMap(({requests}) => requests)
      .filter(({line}) => line.includes('/hanging')).length;
  }

  it('are bounded, and leave other callers their answers', async () => {
    const connections = Array.from({length: CONNECTIONS}, sendWithoutEnd);
    const others = await Promise.all(
      Array.from({length: OTHER_REQUESTS}, () => system.call(host, '/a/other')),
    );
    expect(others.map(({status}) => status)).to.deep.equal(
      Array.from({length: OTHER_REQUESTS}, () => 200),
    );
    await Promise.all(connections);
    expect(countHanging()).to.be.at.most(CONNECTIONS * MAX_OPEN_REQUESTS);
  });

  it('are all answered if they are few', async () => {
    const socket = connect(parseAddress(host.callers));
    let received = '';
    socket.on('data', piece => (received += String(piece)));
    const count = 10;
    const requests = formatRequests(count).replaceAll('/hanging', '/x');
    socket.write(requests);
    await system.waitFor(
      () => received.split('HTTP/1.1 200').length === count + 1,
    );
    socket.destroy();
  });
});
