import {expect} from 'chai';
import {formatHead} from './fakes/fake_server.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

describe('a host on the fake platform', () => {
  let system: TestSystem;
  let first: RunningHost;

  beforeEach(async () => {
    system = new TestSystem();
    await system.start();
    first = await system.startHost('front-1');
    await system.waitFor(() => system.isReady(first));
  });

  afterEach(() => system.stop());

  describe('requests', () => {
    it('get the response of a server with its bytes and signature', async () => {
      const answer = await system.call(first, '/a/x?y=z', {}, 'body');
      expect(answer.status).to.equal(200);
      expect(answer.body).to.equal('whole');
      expect(answer.headers['server-signature']).to.equal('sig');
      const seen = system.servers.flatMap(server => server.requests);
      expect(seen[0]?.line).to.equal('POST /a/x?y=z HTTP/1.1');
      expect(seen[0]?.headers.get('tenant')).to.equal('guild');
      expect(seen[0]?.headers.has('credential')).to.equal(false);
    });

    const refusals: Record<string, [string, Record<string, string>, number]> = {
      'without a route': ['/none/', {}, 404],
      'with an unknown key': ['/a/', {Credential: 'x'}, 401],
      'with a large head': ['/a/', {'X-Large': 'x'.repeat(5000)}, 431],
      'without an id': ['/a/', {'Request-Id': ''}, 400],
    };
    for (const [name, [path, headers, status]] of Object.entries(refusals)) {
      it(`${name} get ${status}`, async () => {
        expect((await system.call(first, path, headers)).status).to.equal(
          status,
        );
      });
    }

    it('with a large body get 413 and reach no server', async () => {
      const answer = await system.call(first, '/a/', {}, 'x'.repeat(2000));
      expect(answer.status).to.equal(413);
      expect(system.servers.flatMap(server => server.requests)).to.deep.equal(
        [],
      );
    });

    it('whose response is cut off are cut off, and never completed', async () => {
      for (const server of system.servers) {
        server.script = (socket, request) =>
          void socket.write(
            `${formatHead(request, 200)}id: 1\ndata: a\n\n`,
            () => setTimeout(() => socket.resetAndDestroy(), 20),
          );
      }
      const answer = await system.call(first, '/s/').catch(() => undefined);
      expect(answer?.whole ?? false).to.equal(false);
    });
  });

  describe('a new configuration', () => {
    it('takes effect, and an unreadable one does not', async () => {
      system.putConfig({routes: [system.createRoute('/b/', {})]});
      await system.waitFor(
        async () => (await system.call(first, '/b/')).status === 200,
      );
      system.store.putText('op', 'config', '{"version": "x"');
      system.putConfig({routes: [system.createRoute('/c/', {})]});
      await system.waitFor(
        async () => (await system.call(first, '/c/')).status === 200,
      );
    });

    it('is received from a peer if the store does not report it', async () => {
      const second = await system.startHost('front-2');
      await system.waitFor(() => system.isReady(second));
      system.store.faults.staleWatches = true;
      system.putConfig({routes: [system.createRoute('/b/', {})]});
      system.store.dropHistory();
      await system.waitFor(
        async () =>
          (await system.call(first, '/b/')).status === 200 &&
          (await system.call(second, '/b/')).status === 200,
      );
    });
  });

  describe('its own load', () => {
    // Guards against a crowd of connections that a host with a whole core does not notice.
    it('is measured on hosts with less than a core and with more, which serve', async () => {
      const small = await system.startHost(
        'front-2',
        [],
        '[limits]\ncpu_share = 0.5',
      );
      await system.waitFor(() => system.isReady(small));
      expect((await system.call(small, '/a/')).status).to.equal(200);
      const isMeasured = async ({metrics}: RunningHost) =>
        /host_processor_share 0\.\d*[1-9]/.test(
          (await system.get(metrics, '/metrics')).body,
        );
      for (const host of [small, first]) {
        expect((await system.call(host, '/a/')).status).to.equal(200);
        await system.waitFor(() => isMeasured(host));
      }
    });
  });

  describe('a server that leaves', () => {
    it('gets no more requests once its entry is removed from the store', async () => {
      const [leaving] = system.servers;
      system.store.remove('servers', 'i-0');
      await system.waitFor(async () => {
        const state = await system.get(first.metrics, '/state');
        return state.body.includes('"id":"i-0","state":"gone"');
      });
      const before = leaving?.requests.length;
      for (let count = 0; count < 10; count++) {
        await system.call(first, '/a/');
      }
      expect(leaving?.requests.length).to.equal(before);
    });

    it('is kept during an outage of the store, and afterwards until its entry may return', async () => {
      system.store.faults.busy = true;
      await system.waitFor(() => system.store.calls.length > 20);
      system.store.remove('servers', 'i-0');
      system.store.remove('servers', 'i-1');
      system.store.faults.busy = false;
      const calls = system.store.calls.length;
      await system.waitFor(() => system.store.calls.length > calls + 3);
      expect((await system.call(first, '/a/')).status).to.equal(200);
    });
  });

  describe('usage', () => {
    it('is reported for each window, with the same counts in repeated reports', async () => {
      for (let count = 0; count < 7; count++) {
        await system.call(first, '/a/');
      }
      await system.waitFor(() =>
        system.cloudCalls.some(call =>
          JSON.stringify(call.body).includes('guild'),
        ),
      );
      const byWindow = new Map<unknown, string>();
      for (const {body} of system.cloudCalls) {
        const counts = JSON.stringify(body['counts']);
        const window = body['window_number'];
        expect(byWindow.get(window) ?? counts).to.equal(counts);
        byWindow.set(window, counts);
      }
      const total = system.cloudCalls.reduce((sum, {body}) => {
        const counts = body['counts'] as Record<string, number>;
        return sum + (counts['guild'] ?? 0);
      }, 0);
      expect(total).to.be.at.most(7);
    });
  });

  describe('a stop', () => {
    it('makes the host not ready at once, and cuts off no response', async () => {
      for (const server of system.servers) {
        server.script = (socket, request) =>
          void setTimeout(
            () =>
              socket.write(
                `${formatHead(request, 200, ['Content-Length: 4'])}late`,
              ),
            200,
          );
      }
      const running = system.call(first, '/a/');
      await system.waitFor(() =>
        system.servers.some(server => server.requests.length > 0),
      );
      const stopping = first.host.stop();
      expect(await system.isReady(first)).to.equal(false);
      const answer = await running;
      expect(answer.body).to.equal('late');
      expect(answer.whole).to.equal(true);
      await stopping;
    });
  });
});
