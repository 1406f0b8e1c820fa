import {expect} from 'chai';
import {connect} from 'node:net';
import {problems, ExecutionStatus} from '../../src/errors/index.js';
import {parseAddress} from '../../src/http/index.js';
import {ExchangeKind, RelayRequest} from '../../src/relay/index.js';
import {
  createForwardParams,
  ForwardingFixture,
  readBody,
  serveAnswer,
  serveUnreachable,
} from './forwarding_fixture.js';

describe('forwarding to another host', () => {
  let fixture: ForwardingFixture;

  beforeEach(() => {
    fixture = new ForwardingFixture();
  });

  afterEach(() => fixture.stop());

  describe('a request', () => {
    // Guards against a host that holds a body of any length, as it counts the stated ones only.
    it('is refused if it does not state its length', async () => {
      await fixture.addHost(serveAnswer);
      const socket = connect(parseAddress(fixture.getAddress(0)));
      socket.on('error', () => undefined);
      const piece = Buffer.alloc(65_536, 'x').toString();
      const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
      socket.write(
        'POST /forward HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
      );
      const startMs = performance.now();
      const timer = setInterval(() => {
        if (!socket.writableNeedDrain) {
          socket.write(chunk);
        }
      }, 2);
      await new Promise(resolve => socket.once('close', resolve));
      clearInterval(timer);
      expect(performance.now() - startMs).to.be.below(3000);
    });

    // Guards against UNASKED: a server that gets another request than the caller sent.
    it('arrives as it was received, and without the key', async () => {
      let received: RelayRequest | undefined;
      let excluded: readonly string[] = [];
      await fixture.addHost(
        async (request, service, sink, signal, attempts) => {
          received = request;
          excluded = attempts.excluded;
          await serveAnswer(request, service, sink, signal, attempts);
        },
      );
      const lastEventId = '7';
      expect(await readBody(await fixture.send({lastEventId}))).to.equal(
        'firstother',
      );
      const sent = createForwardParams().request;
      expect(received?.id).to.equal(sent.id);
      expect(received?.method).to.equal(sent.method);
      expect(received?.path).to.equal(sent.path);
      expect(received?.headers).to.deep.equal(sent.headers);
      expect(Buffer.from(received?.body ?? []).toString()).to.equal('body');
      expect(received?.prompt).to.deep.equal(sent.prompt);
      expect(received?.account?.name).to.equal('guild');
      expect(received?.account?.urgency).to.equal(1);
      expect(received?.account?.keys).to.deep.equal([]);
      expect(received?.lastEventId).to.equal('7');
      expect(received?.forwardedBy).to.equal('front-1');
      expect(excluded).to.deep.equal(['i-7']);
    });

    // Guards against BUDGET: more attempts, or more time, than the caller's request has.
    it('may go to one server, within the rest of its time', async () => {
      let received: RelayRequest | undefined;
      const startMs = performance.now();
      await fixture.addHost(async (request, ...rest) => {
        received = request;
        await serveAnswer(request, ...rest);
      });
      await readBody(await fixture.send());
      expect(received?.route.maxAttempts).to.equal(1);
      const deadlineMs = received?.deadlineMs ?? Infinity;
      expect(deadlineMs).to.be.within(startMs, performance.now() + 900);
    });

    // Guards against requests that anybody can send to servers past the checks of keys.
    it('without a valid proof is not taken', async () => {
      const stranger = new ForwardingFixture('another key');
      try {
        let served = 0;
        await stranger.addHost(async () => void served++);
        const result = await stranger.send();
        expect(result.kind).to.equal(ExchangeKind.NOT_RUN);
        expect(served).to.equal(0);
      } finally {
        stranger.stop();
      }
    });
  });

  describe('another host', () => {
    // Guards against requests that fail though a further host reaches the servers.
    it('is tried if the first declines or is gone', async () => {
      await fixture.addHost(serveUnreachable);
      await fixture.addTerminatedHost();
      await fixture.addHost(serveAnswer, {isOverloaded: () => true});
      await fixture.addHost(serveAnswer);
      for (let count = 0; count < 5; count++) {
        const result = await fixture.send();
        expect(await readBody(result)).to.equal('firstother');
        expect('server' in result && result.server).to.equal('i-1');
      }
    });

    // Guards against requests that circle between hosts that reach no server.
    it('is not found if all decline: the request is refused as not run', async () => {
      let served = 0;
      for (let count = 0; count < 3; count++) {
        await fixture.addHost(async (...call) => {
          served++;
          await serveUnreachable(...call);
        });
      }
      for (let count = 0; count < 5; count++) {
        const result = await fixture.send();
        expect(result.kind).to.equal(ExchangeKind.NOT_RUN);
        const refusal = 'refusal' in result ? result.refusal : undefined;
        expect(refusal?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
        expect(refusal?.retryAfterSeconds).to.be.above(0);
      }
      expect(served).to.equal(3);
    });

    // Guards against planned stops that lose the requests of other hosts.
    it('that stops declines new requests and ends those in progress', async () => {
      let finish: () => void = () => undefined;
      const host = await fixture.addHost(async (...call) => {
        await new Promise<void>(resolve => (finish = resolve));
        await serveAnswer(...call);
      });
      const first = fixture.send();
      while (host.countBusyConnections() === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
      }
      host.startDraining();
      expect((await fixture.send()).kind).to.equal(ExchangeKind.NOT_RUN);
      finish();
      expect(await readBody(await first)).to.equal('firstother');
    });
  });

  describe('a kept connection', () => {
    // Guards against a request that crosses the end of its connection and counts as lost, though
    // it was not run.
    it('to a host that has stopped listening declines what crosses its end', async () => {
      const host = await fixture.addHost(serveAnswer);
      expect(await readBody(await fixture.send())).to.equal('firstother');
      host.startDraining();
      host.stopListening();
      expect((await fixture.send()).kind).to.equal(ExchangeKind.NOT_RUN);
    });
  });

  describe('an outcome', () => {
    // Guards against REFUSED: a request reported as not run that may have run.
    it('is lost if the other host ends after it got the request', async () => {
      const host = await fixture.addHost(
        async (_request, _service, _sink, cancelled) => {
          host.stop();
          await new Promise(resolve =>
            cancelled.addEventListener('abort', resolve),
          );
        },
      );
      expect((await fixture.send()).kind).to.equal(ExchangeKind.LOST);
    });

    // Guards against REFUSED: the other host's server may have run the request.
    it('is lost if the other host lost it', async () => {
      await fixture.addHost(async (_request, _service, sink) =>
        sink.refuse(problems.serverLost('reset')),
      );
      expect((await fixture.send()).kind).to.equal(ExchangeKind.LOST);
    });

    // Guards against callers who are told another reason, or no time to return.
    it('is the refusal of the other host', async () => {
      await fixture.addHost(async (_request, service, sink) =>
        sink.refuse(problems.noRoom(service, 0.5)),
      );
      const result = await fixture.send();
      expect(result.kind).to.equal(ExchangeKind.NOT_RUN);
      expect('refusal' in result && result.refusal).to.deep.equal(
        problems.noRoom('ledger', 0.5),
      );
    });

    // Guards against refusals of requests that another server would take.
    it('is no refusal if a server has rejected the request', async () => {
      await fixture.addHost(
        async (_request, service, sink, _cancelled, attempts) => {
          attempts.onServer({id: 'i-1', version: 'v1'});
          attempts.onRejected();
          sink.refuse(problems.noRoom(service, 0.5));
        },
      );
      const result = await fixture.send();
      expect(result).to.include({kind: ExchangeKind.NOT_RUN, server: 'i-1'});
      expect(result).not.to.have.property('refusal');
    });

    // Guards against MIXED: an answer that breaks off and looks complete.
    it('is not complete if the answer breaks off', async () => {
      await fixture.addHost(async (request, _service, sink) => {
        sink.begin(200, [['Request-Id', request.id]]);
        await sink.write(Buffer.from('part'));
        setTimeout(() => sink.disconnect(), 20);
      });
      let failure: unknown;
      await readBody(await fixture.send()).catch(error => (failure = error));
      expect(failure).to.be.instanceOf(Error);
    });
  });

  // Guards against GONE: servers that work for callers who have left.
  it('is cancelled at the other host when the caller leaves', async () => {
    const controller = new AbortController();
    const cancelled = new Promise<void>(resolve => {
      void fixture.addHost(async (_request, _service, _sink, signal) => {
        signal.addEventListener('abort', () => resolve());
        controller.abort();
      });
    });
    await new Promise(resolve => setTimeout(resolve, 50));
    void fixture.send({}, controller.signal);
    await cancelled;
  });

  // Guards against a host whose memory is used up by answers that a slow caller reads.
  // Guards against RECOVER: one caller that leaves while its request is being forwarded has
  // the other host avoided for a second, and all requests of that time refused.
  it('does not have the other host avoided when a caller leaves before it is sent', async () => {
    await fixture.addHost(serveAnswer);
    const caller = new AbortController();
    const cancelled = fixture.send({}, caller.signal);
    caller.abort();
    expect((await cancelled).kind).to.equal(ExchangeKind.NOT_RUN);
    expect(await readBody(await fixture.send())).to.equal('firstother');
  });

  it('holds up the other host while the answer is not read', async () => {
    const chunk = Buffer.alloc(65_536);
    const CHUNKS = 400;
    let written = 0;
    await fixture.addHost(async (_request, _service, sink) => {
      sink.begin(200, []);
      for (; written < CHUNKS; written++) {
        await sink.write(chunk);
      }
      sink.end();
    });
    const result = await fixture.send();
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(written).to.be.below(CHUNKS);
    expect(await readBody(result)).to.have.length(CHUNKS * chunk.length);
  });
});
