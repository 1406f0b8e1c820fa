import {createServer, Server, ServerResponse} from 'node:http';
import {AddressInfo, connect} from 'node:net';
import {expect} from 'chai';
import {CallerAnswer} from '../../platform/caller_answer.js';
import {callRaw, HttpVersion} from './fakes/raw_caller.js';

/** More than the kernel buffers of a connection hold. */
const PIECE_BYTES = 1_048_576;
const PIECES = 8;
/** Time for which a slow caller reads nothing, in milliseconds. */
const SLOW_READER_MS = 150;

describe('CallerAnswer', () => {
  let server: Server;
  let address: string;
  let onAnswer: (answer: CallerAnswer) => void;

  beforeEach(async () => {
    server = createServer((_request, response: ServerResponse) =>
      onAnswer(new CallerAnswer(response, 'r1')),
    );
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  // Guards against MIXED: an answer that is broken off, or that a stopping host leaves,
  // looks complete to a caller whose connection marks its end.
  for (const version of Object.values(HttpVersion)) {
    for (const method of ['disconnect', 'abandon'] as const) {
      for (const length of [undefined, 100]) {
        const framing = length === undefined ? 'no length' : 'a length';
        it(`is not complete after ${method}, HTTP/${version}, ${framing}`, async () => {
          onAnswer = answer => {
            answer.begin(
              200,
              length === undefined ? [] : [['Content-Length', `${length}`]],
            );
            void answer.write(Buffer.from('half'));
            setTimeout(() => answer[method](), 5);
          };
          const headers = {Host: 'h'};
          const answer = await callRaw(address, {path: '/', version, headers});
          expect(answer).to.deep.include({
            status: 200,
            body: 'half',
            isWhole: false,
          });
        });
      }
    }
  }

  // Guards against events that are lost with the connection though they were relayed.
  it('delivers what was written before it is broken off to a slow caller', async () => {
    onAnswer = answer => {
      answer.begin(200, []);
      for (let count = 0; count < PIECES; count++) {
        void answer.write(Buffer.alloc(PIECE_BYTES, 'x'));
      }
      answer.disconnect();
    };
    const [host = '', port] = address.split(':');
    const socket = connect(Number(port), host);
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
    let bytes = 0;
    let last = '';
    await new Promise(resolve => setTimeout(resolve, SLOW_READER_MS));
    socket.on('data', piece => {
      bytes += piece.length;
      last = piece.toString('latin1').slice(-5);
    });
    await new Promise(resolve => socket.once('close', resolve));
    expect(bytes).to.be.above(PIECES * PIECE_BYTES);
    expect(last).not.to.equal('0\r\n\r\n');
  });
});
