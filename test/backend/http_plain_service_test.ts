import {createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {DeliveryState, HttpPlainService} from '../../src/backend/index.js';

const TIMEOUT_MS = 2000;

describe('HttpPlainService', () => {
  let server: Server;
  let service: HttpPlainService;
  let end: (socket: Socket) => void;

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      // Neither length nor chunks: the answer ends with its connection.
      socket.once('data', () =>
        socket.write('HTTP/1.1 200 OK\r\n\r\nbody', () => end(socket)),
      );
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    service = new HttpPlainService(`http://127.0.0.1:${port}`);
  });

  afterEach(() => server.close());

  function send(): ReturnType<HttpPlainService['send']> {
    return service.send(
      {
        requestId: 'r1',
        method: 'POST',
        path: '/x',
        contentType: '',
        body: Buffer.from('b'),
      },
      TIMEOUT_MS,
    );
  }

  it('takes an answer that ends with its connection once that is closed', async () => {
    end = socket => socket.end();
    const answer = await send();
    expect(answer.isOk && Buffer.from(answer.value.body).toString()).to.equal(
      'body',
    );
  });

  // Guards against a call that runs at most once and whose recorded outcome is half an answer.
  for (const delayMs of [0, 10]) {
    it(`takes no answer whose connection is reset ${delayMs} ms after its bytes`, async () => {
      end = socket => {
        if (delayMs === 0) {
          socket.resetAndDestroy();
        } else {
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        }
      };
      for (let count = 0; count < 5; count++) {
        const answer = await send();
        expect(answer.isErr && answer.error.deliveryState).to.equal(
          DeliveryState.SENT,
        );
      }
    });
  }

  // Guards against a server in trouble that fills the memory of a host until the timeout.
  it('takes no answer without end', async () => {
    const maxBytes = 16_777_216;
    const piece = Buffer.alloc(262_144, 'x');
    let sentBytes = 0;
    end = socket => {
      const writeNext = () => {
        if (sentBytes < 10 * maxBytes && !socket.destroyed) {
          sentBytes += piece.length;
          socket.write(piece, writeNext);
        }
      };
      writeNext();
    };
    const answer = await send();
    expect(answer.isErr && answer.error).to.deep.include({
      deliveryState: DeliveryState.SENT,
      message: `response longer than ${maxBytes} bytes`,
    });
    expect(sentBytes).to.be.below(2 * maxBytes);
  });
});
