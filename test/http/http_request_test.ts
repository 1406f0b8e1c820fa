import {createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {sendJson} from '../../src/http/index.js';

describe('sendJson', () => {
  let server: Server;
  let accepted: Promise<Socket>;

  beforeEach(async () => {
    server = createServer();
    accepted = new Promise(resolve => server.once('connection', resolve));
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
  });

  afterEach(() => server.close());

  /** Sends a call that nobody answers; tells how its channel ends. */
  async function giveUp(recalls: boolean): Promise<string> {
    const {port} = server.address() as AddressInfo;
    const call = sendJson({
      method: 'POST',
      url: `http://127.0.0.1:${port}/`,
      json: {count: 1},
      timeoutMs: 50,
      recalls,
    });
    const socket = await accepted;
    const ended = new Promise<string>(resolve => {
      socket.once('end', () => resolve('end'));
      socket.once('error', (error: Error & {code?: string}) =>
        resolve(error.code ?? error.message),
      );
    });
    socket.resume();
    const answer = await call;
    expect(answer.isErr && answer.error.unreached).to.equal(false);
    return ended;
  }

  it('resets the channel of a call that must not arrive once it is given up', async () => {
    expect(await giveUp(true)).to.equal('ECONNRESET');
  });

  it('closes the channel of any other call', async () => {
    expect(await giveUp(false)).to.equal('end');
  });

  it('gives up a call whose channel never opens', async () => {
    const answer = await sendJson({
      method: 'POST',
      url: 'http://127.0.0.1:1/',
      timeoutMs: 200,
      recalls: true,
    });
    expect(answer.isErr && answer.error.unreached).to.equal(true);
  });
});
