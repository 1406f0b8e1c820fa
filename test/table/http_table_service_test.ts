import {createServer, Server} from 'node:net';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
  HttpTableService,
  Step,
  TableFailureKind,
} from '../../src/table/index.js';

const BODY = '{"key":"k","version":7,"value":"v"}';

describe('HttpTableService', () => {
  let server: Server;
  let table: HttpTableService;
  /** Status and part of the body that are sent before the connection closes. */
  let answer: {status: number; body: string};

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      // Neither length nor chunks: the answer ends with its connection.
      socket.once('data', () =>
        socket.end(`HTTP/1.1 ${answer.status} X\r\n\r\n${answer.body}`),
      );
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as AddressInfo;
    table = new HttpTableService(`http://127.0.0.1:${port}`, 1000);
  });

  afterEach(() => server.close());

  it('reads a row from an answer that ends with its connection', async () => {
    answer = {status: 200, body: BODY};
    const row = await table.get('k');
    expect(row.isOk && row.value?.version).to.equal(7);
  });

  // Guards against rows that count as absent, or lists and commits as made, since the answer
  // of the table broke off.
  for (const length of [0, 1, BODY.length - 1]) {
    it(`gets no answer from one that breaks off after ${length} bytes`, async () => {
      answer = {status: 200, body: BODY.slice(0, length)};
      const steps: Step[] = [];
      for (const result of [
        await table.get('k'),
        await table.list('k'),
        await table.transact(steps),
      ]) {
        expect(result.isErr && result.error.kind).to.equal(
          TableFailureKind.UNANSWERED,
        );
      }
    });
  }

  it('reports a conflict though the answer breaks off', async () => {
    answer = {status: 412, body: '{"ro'};
    const result = await table.transact([]);
    expect(result.isErr && result.error.kind).to.equal(
      TableFailureKind.CONFLICT,
    );
  });
});
