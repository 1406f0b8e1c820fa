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

  /**
   * Sends a request that times out.
   * @returns `end`, or the error code, with which the server sees its connection close.
   */
  async function sendUntilTimeout(recalls: boolean): Promise<string> {
    const {port} = server.address() as AddressInfo;
    const call = sendJson({
      method: 'POST',
      url: `http://127.0.0.1:${port}/`,
      json: {count: 1},
      timeoutMs: 50,
      recalls,
    });
    const socket = await accepted;
    const closed = new Promise<string>(resolve => {
      socket.once('end', () => resolve('end'));
      socket.once('error', (error: Error & {code?: string}) =>
        resolve(error.code ?? error.message),
      );
    });
    socket.resume();
    const answer = await call;
    expect(answer.isErr && answer.error.unreached).to.equal(false);
    return closed;
  }

  it('resets the connection on a timeout if the request must not arrive later', async () => {
    expect(await sendUntilTimeout(true)).to.equal('ECONNRESET');
  });

  it('closes the connection normally on a timeout otherwise', async () => {
    expect(await sendUntilTimeout(false)).to.equal('end');
  });

  it('reports a request as unreached if no connection can be opened', async () => {
    const answer = await sendJson({
      method: 'POST',
      url: 'http://127.0.0.1:1/',
      timeoutMs: 200,
      recalls: true,
    });
    expect(answer.isErr && answer.error.unreached).to.equal(true);
  });

  // Guards against a service or server in trouble that fills the memory of a host.
  describe('with a response that does not end', () => {
    /** Answers without end; returns how many bytes were sent until the connection closed. */
    async function countSentBytes(): Promise<number> {
      const socket = await accepted;
      const piece = Buffer.alloc(65_536, 'x');
      let sentBytes = 0;
      socket.on('error', () => undefined);
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      const timer = setInterval(() => {
        if (!socket.writableNeedDrain) {
          sentBytes += piece.length;
          socket.write(piece);
        }
      }, 1);
      await new Promise(resolve => socket.once('close', resolve));
      clearInterval(timer);
      return sentBytes;
    }

    for (const recalls of [false, true]) {
      it(`fails after the longest response (${recalls ? 'with' : 'without'} recall)`, async () => {
        const {port} = server.address() as AddressInfo;
        const sent = countSentBytes();
        const answer = await sendJson({
          method: 'GET',
          url: `http://127.0.0.1:${port}/`,
          timeoutMs: 5000,
          maxResponseBytes: 1_000_000,
          recalls,
        });
        expect(answer.isErr && answer.error).to.deep.equal({
          unreached: false,
          detail: 'response longer than 1000000 bytes',
        });
        expect(await sent).to.be.below(3_000_000);
      });
    }
  });

  describe('with timeouts of progress', () => {
    /** Sends a piece of a body every 20 ms; returns the answer to a request for it. */
    async function send(pieces: number, maxMs: number): Promise<string> {
      const {port} = server.address() as AddressInfo;
      const call = sendJson({
        method: 'GET',
        url: `http://127.0.0.1:${port}/`,
        timeoutMs: 80,
        progress: {silenceMs: 80, maxMs},
      });
      const socket = await accepted;
      socket.on('error', () => undefined);
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"');
      for (let piece = 0; piece < pieces; piece++) {
        await new Promise(resolve => setTimeout(resolve, 20));
        socket.write('x');
      }
      if (pieces === 10) {
        socket.write('"');
      }
      const answer = await call;
      return answer.isErr ? answer.error.detail : String(answer.value.body);
    }

    it('waits for a large body while bytes arrive', async () => {
      expect(await send(10, 5000)).to.equal('x'.repeat(10));
    });

    it('fails if the body stops midway', async () => {
      expect(await send(3, 5000)).to.match(/no bytes received for 80 ms/);
    });

    it('fails after the time for the whole response, though bytes arrive', async () => {
      expect(await send(9, 100)).to.match(/100ms|100 ms/);
    });
  });
});
