import {createServer, get, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {expect} from 'chai';
import {ConnectionPool} from '../../src/http/index.js';

describe('ConnectionPool', () => {
  let server: Server;
  let pool: ConnectionPool;

  beforeEach(async () => {
    server = createServer((_request, response) => {
      response.setHeader('Keep-Alive', 'timeout=10');
      response.end('answer');
    });
    server.keepAliveTimeout = 10_000;
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    pool.closeIdle();
    server.close();
    server.closeAllConnections();
  });

  async function exchange(): Promise<void> {
    const {port} = server.address() as AddressInfo;
    const request = get({host: '127.0.0.1', port, agent: pool});
    const [response] = await once(request, 'response');
    response.resume();
    await once(response, 'close');
    await new Promise(resolve => setImmediate(resolve));
  }

  // Otherwise servers would be preferred to which no connection can be reused.
  it('reports a connection as idle only between requests', async () => {
    pool = new ConnectionPool(() => 8000);
    expect(pool.hasIdle()).to.equal(false);
    await exchange();
    expect(pool.hasIdle()).to.equal(true);
    pool.closeIdle();
    await new Promise(resolve => setImmediate(resolve));
    expect(pool.hasIdle()).to.equal(false);
  });

  it('closes an idle connection after the maximum, before the server does', async () => {
    pool = new ConnectionPool(() => 1);
    await exchange();
    const [sockets] = Object.values(pool.freeSockets);
    const [socket] = sockets ?? [];
    if (socket !== undefined) {
      await once(socket, 'close');
    }
    expect(pool.hasIdle()).to.equal(false);
  });
});
