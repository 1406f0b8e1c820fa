import {expect} from 'chai';
import {createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';
import {ConnectionOutcome, tryConnection} from '../../src/http/index.js';
import {findFreePorts} from '../../src/trial/index.js';

const TIMEOUT_MS = 100;

describe('tryConnection', () => {
  let server: Server;
  let address: string;
  let onConnection: (socket: Socket) => void;

  beforeEach(async () => {
    onConnection = () => undefined;
    server = createServer(socket => {
      socket.on('error', () => undefined);
      onConnection(socket);
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => server.close());

  it('reports a connection that stays open', async () => {
    expect(await tryConnection(address, TIMEOUT_MS)).to.equal(
      ConnectionOutcome.OPENED,
    );
  });

  it('reports a port at which nothing listens', async () => {
    const [port] = await findFreePorts(1);
    expect(await tryConnection(`127.0.0.1:${port}`, TIMEOUT_MS)).to.equal(
      ConnectionOutcome.REFUSED,
    );
  });

  // Guards against a host that takes servers for reachable because a device on the way
  // accepts connections that it cannot pass on.
  for (const close of ['resetAndDestroy', 'end'] as const) {
    it(`reports a connection that is closed at once (${close})`, async () => {
      onConnection = socket => setTimeout(() => socket[close](), 10);
      expect(await tryConnection(address, TIMEOUT_MS)).to.equal(
        ConnectionOutcome.REFUSED,
      );
    });
  }

  // Guards against waiting for an address from which nothing comes back.
  it('reports that nothing answers in time', async () => {
    const socket = Object.assign(new Socket(), {connecting: true});
    expect(await tryConnection(address, TIMEOUT_MS, () => socket)).to.equal(
      ConnectionOutcome.NO_ANSWER,
    );
  });
});
