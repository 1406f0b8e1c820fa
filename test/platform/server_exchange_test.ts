import {expect} from 'chai';
import {
  ExchangeAnswer,
  ExchangeKind,
  ExchangeResult,
  ServerStatement,
} from '../../src/relay/index.js';
import {ServerExchange} from '../../platform/server_exchange.js';
import {createExchangeParams} from './exchange_fixture.js';
import {
  answerWith,
  formatHead,
  Script,
  FakeServer,
} from './fakes/fake_server.js';

describe('ServerExchange', () => {
  let server: FakeServer;
  let address: string;
  let exchange: ServerExchange;
  let sent = 0;

  beforeEach(async () => {
    server = new FakeServer(answerWith('whole'));
    address = await server.listen();
    exchange = new ServerExchange();
  });

  afterEach(() => server.stop());

  function send(
    overrides: {id?: string; signal?: AbortSignal; address?: string} = {},
  ): Promise<ExchangeResult> {
    const id = overrides.id ?? `r${++sent}`;
    return exchange.send(
      createExchangeParams(id, overrides.address ?? address, {
        path: '/a/b?c=d',
        headers: [
          ['Host', 'h'],
          ['Request-Id', id],
        ],
      }),
      overrides.signal ?? new AbortController().signal,
    );
  }

  async function read(result: ExchangeResult): Promise<string> {
    const pieces: Uint8Array[] = [];
    for await (const piece of (result as ExchangeAnswer).body) {
      pieces.push(piece);
    }
    return Buffer.concat(pieces).toString();
  }

  describe('a request', () => {
    it('names the intended server and the remaining time', async () => {
      await read(await send());
      const [seen] = server.requests;
      expect(seen?.line).to.equal('POST /a/b?c=d HTTP/1.1');
      expect(seen?.headers.get('expected-instance')).to.equal('i-1');
      expect(seen?.headers.get('deadline-remaining')).to.equal('987');
      expect(seen?.body).to.equal('body');
    });

    for (const connection of ['new', 'reused'] as const) {
      it(`is not written to a ${connection} connection if the server no longer accepts requests`, async () => {
        if (connection === 'reused') {
          await read(await send());
        }
        const before = server.requests.length;
        const params = {
          ...createExchangeParams('late', address),
          maySend: () => false,
        };
        const result = await exchange.send(
          params,
          new AbortController().signal,
        );
        expect(result).to.deep.include({
          kind: ExchangeKind.NOT_RUN,
          notAccepting: true,
        });
        await read(await send());
        expect(server.requests.length).to.equal(before + 1);
      });
    }

    it('is not written if it is cancelled by an event that was pending', async () => {
      const controller = new AbortController();
      const params = {
        ...createExchangeParams('late', address),
        handlePendingEvents: async () => controller.abort(),
      };
      const result = await exchange.send(params, controller.signal);
      expect(result).to.deep.include({
        kind: ExchangeKind.NOT_RUN,
        unsent: true,
      });
      await read(await send());
      expect(server.requests.length).to.equal(1);
    });

    it('reuses a connection while its server keeps it open', async () => {
      await read(await send());
      await read(await send());
      expect(server.connectionCount).to.equal(1);
    });

    it('causes no warning on a connection that is used many times', async () => {
      const warnings: string[] = [];
      const warn = (warning: Error) => warnings.push(warning.name);
      process.on('warning', warn);
      for (let count = 0; count < 20; count++) {
        await read(await send());
      }
      await new Promise(resolve => setImmediate(resolve));
      process.off('warning', warn);
      expect(server.connectionCount).to.equal(1);
      expect(warnings).to.deep.equal([]);
    });

    it('does not reuse a connection if its server states no keep-alive timeout', async () => {
      server.script = (socket, request) =>
        void socket.write(formatHead(request, 200, ['Content-Length: 0']));
      await read(await send());
      await read(await send());
      expect(server.connectionCount).to.equal(2);
    });
  });

  describe('the limit that a server states', () => {
    const LIMIT = 'Server-Limit: 2.5';

    /** Returns the limit read from a response; 'not read' if the exchange ignores it. */
    async function readLimit(
      status: number,
      headers: readonly string[],
      change: (head: string) => string = head => head,
    ): Promise<number | string | undefined> {
      server.script = (socket, request) =>
        void socket.write(
          change(
            formatHead(request, status, ['Content-Length: 0', ...headers]),
          ),
        );
      const limit = (await send()).statement?.limit;
      return limit === undefined
        ? 'not read'
        : limit.mapOr<number | string | undefined>('unusable', stated =>
            stated.unwrapOr(undefined),
          );
    }

    it('is read from responses, failures and rejections', async () => {
      for (const status of [200, 404, 500, 503]) {
        expect(await readLimit(status, [LIMIT])).to.equal(2.5);
      }
      const rejected = ['Not-Executed: 1', LIMIT];
      expect(await readLimit(503, rejected)).to.equal(2.5);
    });

    it('is absent if a success states none, and not read if a failure states none', async () => {
      expect(await readLimit(200, [])).to.equal(undefined);
      expect(await readLimit(500, [])).to.equal('not read');
      expect(await readLimit(503, ['Not-Executed: 1'])).to.equal('not read');
    });

    it('is the lowest of several, and unusable if one of them is invalid', async () => {
      expect(await readLimit(200, [LIMIT, 'Server-Limit: 1'])).to.equal(1);
      expect(await readLimit(200, [LIMIT, 'Server-Limit: x'])).to.equal(
        'unusable',
      );
      expect(
        await readLimit(200, [`Server-Limit: ${'1'.repeat(10_240)}`]),
      ).to.equal('unusable');
    });

    it('is not read from a response of another server or to another request', async () => {
      expect(await readLimit(421, [LIMIT])).to.equal('not read');
      const change = (head: string) =>
        head.replace(/Request-Id: \S+/, 'Request-Id: other');
      expect(await readLimit(200, [LIMIT], change)).to.equal('not read');
    });
  });

  describe('what a response states about its server', () => {
    /** Returns the statement of a response; absent if the exchange ignores it. */
    async function readStatement(
      status: number,
      headers: readonly string[],
      change: (head: string) => string = head => head,
    ): Promise<ServerStatement | undefined> {
      server.script = (socket, request) =>
        void socket.write(
          change(
            formatHead(request, status, ['Content-Length: 0', ...headers]),
          ),
        );
      return (await send()).statement;
    }

    it('includes that it leaves, in responses, failures and rejections', async () => {
      const leaving = 'Server-Leaving: 1';
      for (const status of [200, 404, 500, 503]) {
        const statement = await readStatement(status, [leaving]);
        expect(statement?.isLeaving).to.equal(true);
      }
      const rejection = await readStatement(503, ['Not-Executed: 1', leaving]);
      expect(rejection?.isLeaving).to.equal(true);
    });

    it('does not include that it leaves if the header is absent or has another value', async () => {
      for (const headers of [[], ['Server-Leaving: 0'], ['Server-Leaving: ']]) {
        const statement = await readStatement(200, headers);
        expect(statement?.isLeaving).to.equal(false);
      }
    });

    it('includes a backoff in rejections only', async () => {
      const retryAfter = 'Retry-After: 1.5';
      const readBackoff = async (status: number, ...headers: string[]) => {
        const statement = await readStatement(status, headers);
        return statement?.backoff?.unwrapOr(0);
      };
      const rejected = 'Not-Executed: 1';
      expect(await readBackoff(503, rejected, retryAfter)).to.equal(1500);
      expect(await readBackoff(429, rejected, retryAfter)).to.equal(1500);
      expect(await readBackoff(503, retryAfter)).to.equal(1500);
      expect(await readBackoff(503, rejected)).to.equal(undefined);
      expect(await readBackoff(200, retryAfter)).to.equal(undefined);
      expect(await readBackoff(500, retryAfter)).to.equal(undefined);
    });

    it('is not read from a response of another server, to another request, or without a signature', async () => {
      const headers = ['Server-Leaving: 1', 'Retry-After: 3'];
      expect(await readStatement(421, headers)).to.equal(undefined);
      for (const [pattern, replacement] of [
        [/Request-Id: \S+/, 'Request-Id: other'],
        [/Server-Signature: \S+\r\n/, ''],
      ] as const) {
        const change = (head: string) => head.replace(pattern, replacement);
        const statement = await readStatement(200, headers, change);
        expect(statement).to.equal(undefined);
      }
    });
  });

  describe('a response', () => {
    const cases: Record<string, [Script, string]> = {
      'to another request': [
        (socket, request) =>
          void socket.write(
            formatHead(request, 200, ['Content-Length: 0']).replace(
              /Request-Id: \S+/,
              'Request-Id: other',
            ),
          ),
        ExchangeKind.LOST,
      ],
      'without a signature': [
        (socket, request) =>
          void socket.write(
            formatHead(request, 200, ['Content-Length: 0']).replace(
              'Server-Signature: sig\r\n',
              '',
            ),
          ),
        ExchangeKind.LOST,
      ],
      'that is encoded': [
        (socket, request) =>
          void socket.write(
            formatHead(request, 200, [
              'Content-Length: 0',
              'Content-Encoding: gzip',
            ]),
          ),
        ExchangeKind.LOST,
      ],
      'that is not HTTP': [
        socket => void socket.write('garbage\r\n\r\n'),
        ExchangeKind.LOST,
      ],
      'that never arrives because the connection is closed': [
        socket => void socket.destroy(),
        ExchangeKind.LOST,
      ],
      'that states that the request did not run': [
        socket =>
          void socket.write(
            'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
          ),
        ExchangeKind.NOT_RUN,
      ],
      'of another server at the address': [
        socket =>
          void socket.write('HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n'),
        ExchangeKind.NOT_RUN,
      ],
    };
    for (const [name, [script, kind]] of Object.entries(cases)) {
      it(`${name} is ${kind}`, async () => {
        server.script = script;
        expect((await send()).kind).to.equal(kind);
      });
    }

    it('without a length is complete when its connection ends', async () => {
      server.script = (socket, request) => {
        socket.end(`${formatHead(request, 200)}to the end`);
      };
      expect(await read(await send())).to.equal('to the end');
    });

    it('without a length is incomplete if its connection is reset', async () => {
      server.script = (socket, request) => {
        socket.write(`${formatHead(request, 200)}to the`, () =>
          setTimeout(() => socket.resetAndDestroy(), 30),
        );
      };
      const error = await read(await send()).catch(String);
      expect(error).to.contain('Error');
    });

    it('without a length is incomplete if the reset comes with its last bytes', async () => {
      server.script = (socket, request) => {
        socket.write(`${formatHead(request, 200)}to the`, () =>
          socket.resetAndDestroy(),
        );
      };
      for (let count = 0; count < 20; count++) {
        const result = await send();
        if (result.kind === ExchangeKind.ANSWERED) {
          const error = await read(result).catch(String);
          expect(error).to.contain('Error');
        }
      }
    });

    it('without content is complete after its head', async () => {
      server.script = (socket, request) => {
        socket.write(formatHead(request, 204, ['Keep-Alive: timeout=5']));
      };
      expect(await read(await send())).to.equal('');
    });

    it('that is shorter than its length is incomplete', async () => {
      server.script = (socket, request) => {
        socket.end(`${formatHead(request, 200, ['Content-Length: 9'])}short`);
      };
      const error = await read(await send()).catch(String);
      expect(error).to.contain('Error');
    });

    it('that arrives twice does not affect a later request', async () => {
      server.script = (socket, request) => {
        answerWith('whole')(socket, request);
        answerWith('extra')(socket, request);
      };
      expect(await read(await send())).to.equal('whole');
      server.script = answerWith('next');
      await new Promise(resolve => setTimeout(resolve, 30));
      expect(await read(await send())).to.equal('next');
    });
  });

  // Guards against a server in trouble whose bytes a host reads until the deadline.
  describe('bytes beside a body', () => {
    const CHUNKED = 'Transfer-Encoding: chunked';

    function repeat(text: string, bytes: number): string {
      return text.repeat(Math.ceil(bytes / text.length));
    }

    it('are read if they frame short chunks', async () => {
      const text = repeat('abc', 1_000_000);
      server.script = (socket, request) => {
        const chunks = repeat('3\r\nabc\r\n', (text.length / 3) * 8);
        socket.write(
          `${formatHead(request, 200, [CHUNKED])}${chunks}0\r\n\r\n`,
        );
      };
      expect(await read(await send())).to.equal(text);
    });

    it('end an exchange that has no head yet if they are many', async () => {
      server.script = socket => {
        socket.write(repeat('HTTP/1.1 103 Early Hints\r\n\r\n', 400_000));
      };
      expect(await send()).to.deep.include({
        kind: ExchangeKind.LOST,
        corrupted: true,
        reason: 'overhead',
      });
    });

    it('end an exchange in its body if they are many', async () => {
      server.script = (socket, request) => {
        const chunks = repeat('1;x=xxxxxxxxxxxxxxx\r\n:\r\n', 400_000);
        socket.write(formatHead(request, 200, [CHUNKED]) + chunks);
      };
      const result = await send();
      const failure = await read(result).catch((error: unknown) => error);
      expect(failure).to.have.property('reason', 'overhead');
      while (server.sockets.size > 0) {
        await new Promise(resolve => setTimeout(resolve, 10));
      }
    });
  });

  describe('a rejection', () => {
    it('leaves its connection to the next request', async () => {
      server.script = (socket, request) => {
        const headers = [
          'Not-Executed: full',
          'Content-Length: 4',
          'Keep-Alive: timeout=5',
        ];
        socket.write(`${formatHead(request, 503, headers)}full`);
      };
      await send();
      await new Promise(resolve => setTimeout(resolve, 50));
      await send();
      expect(server.connectionCount).to.equal(1);
    });

    // Guards against connections that stay open for good.
    it('is closed if its body does not end in time', async () => {
      server.script = (socket, request) => {
        socket.write(formatHead(request, 503, ['Not-Executed: full']));
        const timer = setInterval(() => socket.write('x'), 50);
        socket.once('close', () => clearInterval(timer));
      };
      const result = await send();
      expect(result.kind).to.equal(ExchangeKind.NOT_RUN);
      expect(server.sockets.size).to.equal(1);
      while (server.sockets.size > 0) {
        await new Promise(resolve => setTimeout(resolve, 50));
      }
    });
  });

  describe('a server that cannot be reached', () => {
    it('has certainly not run the request', async () => {
      server.stop();
      expect((await send()).kind).to.equal(ExchangeKind.NOT_RUN);
    });
  });

  describe('cancelling', () => {
    it('closes the connection at the server', async () => {
      server.script = () => undefined;
      const controller = new AbortController();
      const result = send({signal: controller.signal});
      while (server.requests.length === 0) {
        await new Promise(resolve => setImmediate(resolve));
      }
      controller.abort();
      expect((await result).kind).to.equal(ExchangeKind.LOST);
      while (server.sockets.size > 0) {
        await new Promise(resolve => setImmediate(resolve));
      }
    });
  });

  describe('reset', () => {
    it('does not cut off a response in progress', async () => {
      server.script = (socket, request) => {
        socket.write(`${formatHead(request, 200, ['Content-Length: 6'])}abc`);
        setTimeout(() => socket.write('def'), 40);
      };
      const result = await send();
      exchange.forget('i-1');
      expect(await read(result)).to.equal('abcdef');
    });
  });
});
