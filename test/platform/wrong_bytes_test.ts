import {expect} from 'chai';
import {answerWith, formatHead, Script} from './fakes/fake_server.js';
import {callRaw, HttpVersion} from './fakes/raw_caller.js';
import {
  AMPLE_RETRY_RATIO,
  KEY,
  RunningHost,
  TestSystem,
} from './fakes/test_system.js';
import {UncaughtErrors} from './fakes/uncaught_errors.js';

const EVENTS = 8;
const STREAMS = 12;

/**
 * Guards against bytes of a server that an API of node:http refuses: thrown in an event of a
 * socket, the error ends the process with all requests in flight there.
 */
describe('a host whose servers send wrong bytes', () => {
  let system: TestSystem;
  let host: RunningHost;
  let errors: UncaughtErrors;

  beforeEach(async () => {
    errors = new UncaughtErrors();
    system = new TestSystem();
    system.bootstrap = true;
    system.retryRatio = AMPLE_RETRY_RATIO;
    await system.start();
    system.putConfig({
      routes: [
        system.createRoute('/a/', {}),
        system.createRoute('/s/', {
          kind: 'streaming',
          resumable: true,
          max_attempts: 3,
        }),
      ],
    });
    [host] = (await system.startHosts(['front-1'])) as [RunningHost];
  });

  afterEach(async () => {
    await system.stop();
    errors.stop();
  });

  function formatEvent(number: number, suffix = ''): string {
    return `id: ${number}${suffix}\ndata: t${number}\n\n`;
  }

  function formatEvents(from: number): string {
    return Array.from({length: EVENTS - from + 1}, (_, index) =>
      formatEvent(from + index),
    ).join('');
  }

  /** Streams on from the event that the request names, and spoils the answers of one server. */
  function createScript(spoils: boolean, suffix: string, breaks: boolean) {
    const script: Script = (socket, request) => {
      const after = Number(request.headers.get('last-event-id') ?? 0);
      const head = formatHead(request, 200, [
        'Content-Type: text/event-stream',
      ]);
      if (!spoils || after > 0) {
        socket.end(head + formatEvents(after + 1));
        return;
      }
      const spoiled = formatEvent(1) + formatEvent(2, suffix);
      if (breaks) {
        socket.write(head + spoiled);
        setTimeout(() => socket.resetAndDestroy(), 30);
        return;
      }
      socket.end(head + spoiled + formatEvents(3));
    };
    return script;
  }

  function stream(id: string) {
    return callRaw(host.callers, {
      path: '/s/x',
      version: HttpVersion.HTTP_1_1,
      headers: {
        Host: 'desk.example',
        'Request-Id': id,
        Credential: KEY,
        'Deadline-Remaining': '2000',
      },
    });
  }

  function streamAll() {
    return Promise.all(
      Array.from({length: STREAMS}, (_, index) => stream(`s${index}`)),
    );
  }

  const suffixes: Record<string, string> = {
    'the byte 00': '\u0000',
    'the byte 01': '\u0001',
    'the byte 16': '\u0016',
    'the byte 1f': '\u001f',
    'the byte 7f': '\u007f',
    'more bytes than a head may have': '0'.repeat(40_000),
  };
  for (const [name, suffix] of Object.entries(suffixes)) {
    it(`continues a stream before an event whose id has ${name}`, async () => {
      for (const [index, server] of system.servers.entries()) {
        server.script = createScript(index === 0, suffix, true);
      }
      const answers = await streamAll();
      expect(errors.list).to.deep.equal([]);
      // No event comes twice, none is left out, and none has the id.
      expect(answers.map(({body}) => body)).to.deep.equal(
        Array.from({length: STREAMS}, () => formatEvents(1)),
      );
      expect(answers.every(({isWhole}) => isWhole)).to.equal(true);
      const resumed = system.servers[1]?.requests.filter(
        ({headers}) => headers.get('last-event-id') === '1',
      );
      expect(resumed?.length ?? 0).to.be.above(0);
    });
  }

  // Guards against a stream that is given up although its server goes on.
  it('relays all events of a server that goes on after such an id', async () => {
    for (const [index, server] of system.servers.entries()) {
      server.script = createScript(index === 0, '\u0001', false);
    }
    const answers = await streamAll();
    const spoiled = formatEvent(1) + formatEvent(2, '\u0001') + formatEvents(3);
    expect(answers.every(({isWhole}) => isWhole)).to.equal(true);
    expect([...new Set(answers.map(({body}) => body))]).to.have.members([
      spoiled,
      formatEvents(1),
    ]);
  });

  for (const status of ['000', '099', '100', '101', '199']) {
    // Guards against callers whose connection is closed without an answer.
    it(`answers callers whose server sends the status ${status}`, async () => {
      for (const server of system.servers) {
        server.script = (socket, request) =>
          void socket.end(
            formatHead(request, 200, ['Content-Length: 0']).replace(
              '200',
              status,
            ),
          );
      }
      const answer = await system.call(host, '/a/x');
      expect(answer.whole).to.equal(true);
      expect(answer.status).to.equal(502);
      expect(errors.list).to.deep.equal([]);
    });
  }

  it('serves on beside entries with an address or a name that cannot be used', async () => {
    for (const server of system.servers) {
      server.script = answerWith('whole');
    }
    await system.register('i-port', '127.0.0.1:70000', 'ready');
    await system.register('i-none', '127.0.0.1:0', 'ready');
    await system.register('i-ip', '999.0.0.1:80', 'ready');
    await system.register('i-\u0001', system.addresses[0] ?? '', 'ready');
    await system.register('i-3', system.addresses[0] ?? '', 'ready');
    await system.waitFor(async () => {
      const state = await system.get(host.metrics, '/state');
      return state.body.includes('"id":"i-3"');
    });
    for (let count = 0; count < 40; count++) {
      const answer = await system.call(host, '/a/x');
      expect(answer.status).to.equal(200);
    }
    expect(errors.list).to.deep.equal([]);
  });

  it('refuses a request whose target cannot be sent on', async () => {
    const answer = await callRaw(host.callers, {
      path: '/a/x\ty',
      version: HttpVersion.HTTP_1_1,
      headers: {
        Host: 'desk.example',
        'Request-Id': 't',
        Credential: KEY,
      },
    });
    expect(answer.status).to.equal(400);
    expect(answer.isWhole).to.equal(true);
  });

  it('refuses the requests of a customer whose name cannot be sent, and no others', async () => {
    for (const server of system.servers) {
      server.script = answerWith('whole');
    }
    system.putConfig({
      tenants: [
        {name: 'guild', api_keys: [KEY]},
        {name: 'g\u0001', api_keys: ['k2']},
      ],
    });
    await system.waitFor(async () => {
      const answer = await system.call(host, '/a/x', {Credential: 'k2'});
      return answer.status !== 401;
    });
    const refused = await system.call(host, '/a/x', {Credential: 'k2'});
    expect(refused.status).to.be.within(500, 503);
    expect(refused.body).to.contain('"ran":"no"');
    for (let count = 0; count < 20; count++) {
      expect((await system.call(host, '/a/x')).status).to.equal(200);
    }
    expect(errors.list).to.deep.equal([]);
  });
});
