/** Moves a service to another version on running hosts, with a fake store and fake servers. */
import {expect} from 'chai';
import {decodeRolloutOrder} from '../../platform/rollout_record.js';
import {answerWith, FakeServer} from './fakes/fake_server.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

const SERVICE = 'ledger';
const STATUS_KEY = `rollout/${SERVICE}`;
const NEW = 'v2';

describe('a roll-out on running hosts', () => {
  const DURATION_S = 3;
  const PAUSE_MS = 4;
  let system: TestSystem;
  let hosts: RunningHost[];
  let added: FakeServer[];
  let isOver: boolean;

  beforeEach(async () => {
    isOver = false;
    system = new TestSystem();
    await system.start();
    hosts = [];
    for (const name of ['front-1', 'front-2', 'front-3']) {
      hosts.push(await system.startHost(name));
    }
    for (const host of hosts) {
      await system.waitFor(() => system.isReady(host));
    }
    added = [0, 1].map(() => new FakeServer(answerWith('new')));
  });

  afterEach(async () => {
    isOver = true;
    for (const server of added) {
      server.stop();
    }
    await system.stop();
  });

  async function startNewServers(): Promise<void> {
    for (const [index, server] of added.entries()) {
      const address = await server.listen();
      await system.register(`n-${index}`, address, 'ready', NEW);
    }
  }

  function order(): void {
    const record = {service: SERVICE, to: NEW, duration_s: DURATION_S};
    system.store.put('op', STATUS_KEY, record);
  }

  /** Sends requests until the test is over. */
  async function sendRequests(): Promise<void> {
    for (let turn = 0; !isOver; turn++) {
      const host = hosts[turn % hosts.length];
      if (host !== undefined) {
        void system.call(host, '/a/x').catch(() => undefined);
      }
      await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
  }

  function getState(): unknown {
    const status = system.store.get('status', STATUS_KEY);
    return (status as {state?: string} | undefined)?.state;
  }

  it('is completed if the new version works, and all requests go to it', async () => {
    void sendRequests();
    order();
    await startNewServers();
    await system.waitFor(() => getState() === 'running');
    await system.waitFor(() => getState() === 'completed');
    expect(system.store.get('status', STATUS_KEY)).to.deep.equal({
      state: 'completed',
      to: NEW,
    });
    for (const [index, server] of system.servers.entries()) {
      server.stop();
      system.store.remove('servers', `i-${index}`);
    }
    await new Promise(resolve => setTimeout(resolve, 1000));
    for (const host of hosts) {
      expect((await system.call(host, '/a/x')).body).to.equal('new');
    }
  }).timeout(30_000);

  it('is rolled back if the new version fails, and no requests go to it', async () => {
    for (const server of added) {
      server.script = answerWith('failed', 500);
    }
    void sendRequests();
    order();
    await startNewServers();
    await system.waitFor(() => getState() === 'rolled_back');
    await new Promise(resolve => setTimeout(resolve, 1000));
    const seen = added.reduce((sum, server) => sum + server.requests.length, 0);
    await new Promise(resolve => setTimeout(resolve, 500));
    const later = added.reduce(
      (sum, server) => sum + server.requests.length,
      0,
    );
    expect(later).to.equal(seen);
  }).timeout(30_000);

  it('sends no requests to a version that no order names', async () => {
    void sendRequests();
    await startNewServers();
    await new Promise(resolve => setTimeout(resolve, 1000));
    expect(added.flatMap(({requests}) => requests)).to.have.length(0);
  }).timeout(30_000);
});

describe('decodeRolloutOrder', () => {
  const order = {service: SERVICE, to: NEW, duration_s: 12};

  function decode(record: unknown) {
    return decodeRolloutOrder(SERVICE, JSON.stringify(record), 7);
  }

  it('reads an order', () => {
    expect(decode(order).unwrapOr(undefined)).to.deep.equal({
      service: SERVICE,
      to: NEW,
      durationMs: 12_000,
      number: 7,
    });
  });

  for (const [what, change] of [
    ['another service', {service: 'other'}],
    ['no version', {to: undefined}],
    ['a version that is not text', {to: 2}],
    ['a duration of 0', {duration_s: 0}],
    ['a duration below 0', {duration_s: -1}],
    ['a duration that is not a number', {duration_s: 'soon'}],
  ] as const) {
    it(`refuses ${what}, with the remedy`, () => {
      const decoded = decode({...order, ...change});
      expect(decoded.isErr).to.equal(true);
      expect(decoded.isErr && decoded.error).to.match(/; (name|give) /);
    });
  }

  it('refuses a record that is not an object', () => {
    expect(decodeRolloutOrder(SERVICE, '{', 7).isErr).to.equal(true);
    expect(decode([1]).isErr).to.equal(true);
  });
});
