import {expect} from 'chai';
import {answerWith} from './fakes/fake_server.js';
import {StoreCopy} from './fakes/fake_store.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

const HOSTS = ['front-1', 'front-2', 'front-3'];
/** Time within which a confirmed change must be in force at all hosts, in milliseconds. */
const IN_FORCE_MS = 2000;
/** Time from the return of the store until the operator and the servers write again. */
const REWRITE_MS = 1000;
/** Time in which hosts apply what they read, in milliseconds. */
const SETTLE_MS = 1200;

describe('a store that is restored from a copy', () => {
  let system: TestSystem;
  let hosts: RunningHost[];

  beforeEach(async () => {
    system = new TestSystem();
    system.addServers(3, (_server, index) => answerWith(`from ${index}`));
    await system.start();
    hosts = await system.startHosts(HOSTS);
  });

  afterEach(() => system.stop());

  function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
  }

  /** Puts a configuration with an additional route. */
  function addRoute(prefix: string): void {
    const routes = [
      system.createRoute('/a/', {}),
      system.createRoute(prefix, {}),
    ];
    system.putConfig({routes});
  }

  /** Returns the status of a request to each host. */
  async function callAll(path: string): Promise<number[]> {
    const views = await Promise.all(
      hosts.map(host => system.call(host, path, {}, 'body')),
    );
    return views.map(({status}) => status);
  }

  /** Returns the bodies of several answers of each host: they name the server. */
  async function listAnswers(): Promise<Set<string>> {
    const bodies = new Set<string>();
    for (let count = 0; count < 30; count++) {
      for (const host of hosts) {
        bodies.add((await system.call(host, '/a/x', {}, 'body')).body);
      }
    }
    return bodies;
  }

  /** Writes rows that only raise the version of the store. */
  function raiseVersion(writes: number): void {
    for (let count = 0; count < writes; count++) {
      system.store.put('other', `row-${count}`, {count});
    }
  }

  /** Takes the store away for a moment, and restores it from a copy. */
  async function restore(copy: StoreCopy): Promise<void> {
    system.store.faults.unresponsive = true;
    await sleep(500);
    system.store.restore(copy);
    system.store.faults.unresponsive = false;
  }

  /** Lets the servers write their entries again, in their present state. */
  async function registerAgain(states: readonly string[]): Promise<void> {
    for (const [index, state] of states.entries()) {
      const address = system.addresses[index] ?? '';
      await system.register(`i-${index}`, address, state);
    }
  }

  // Guards against hosts that take a row for outdated because its version is lower than one
  // of before the restoration.
  it('brings into force in time what is written after its return', async () => {
    const copy = system.store.takeCopy();
    raiseVersion(50);
    system.putConfig({});
    await sleep(SETTLE_MS);
    await restore(copy);
    await sleep(REWRITE_MS);
    addRoute('/new/');
    await sleep(IN_FORCE_MS);
    expect(await callAll('/new/x')).to.deep.equal([200, 200, 200]);
  }).timeout(30_000);

  // Guards against a gap in a feed that nothing reports: the store has passed the version
  // after which a host watches before the host asks again.
  it('hides no change from hosts that do not notice its absence', async () => {
    const copy = system.store.takeCopy();
    raiseVersion(50);
    system.putConfig({});
    await sleep(SETTLE_MS);
    system.store.faults.staleWatches = true;
    system.store.restore(copy);
    addRoute('/new/');
    raiseVersion(200);
    system.store.faults.staleWatches = false;
    await sleep(IN_FORCE_MS);
    expect(await callAll('/new/x')).to.deep.equal([200, 200, 200]);
  }).timeout(30_000);

  // Guards against what the copy still holds coming into force again.
  it('brings nothing older into force before it is written again', async () => {
    const copy = system.store.takeCopy();
    raiseVersion(50);
    addRoute('/new/');
    await system.register('i-0', system.addresses[0] ?? '', 'draining');
    system.store.remove('servers', 'i-1');
    await sleep(SETTLE_MS);
    await restore(copy);
    const endMs = performance.now() + 2 * REWRITE_MS;
    while (performance.now() < endMs) {
      expect(await callAll('/new/x')).to.deep.equal([200, 200, 200]);
      expect([...(await listAnswers())]).to.deep.equal(['from 2']);
    }
  }).timeout(30_000);

  // Guards against servers that are given up since the copy lacks them.
  it('loses no server that registered after the copy was made', async () => {
    const copy = system.store.takeCopy();
    raiseVersion(50);
    await system.register('i-9', system.addresses[2] ?? '', 'ready');
    await registerAgain(['draining', 'draining', 'draining']);
    await sleep(SETTLE_MS);
    await restore(copy);
    const endMs = performance.now() + REWRITE_MS;
    while (performance.now() < endMs) {
      expect(await callAll('/a/x')).to.deep.equal([200, 200, 200]);
      await sleep(50);
    }
    await system.register('i-9', system.addresses[2] ?? '', 'ready');
    await sleep(2 * IN_FORCE_MS);
    expect(await callAll('/a/x')).to.deep.equal([200, 200, 200]);
  }).timeout(30_000);

  // Guards against two holders of a duty, and fencing numbers that are given out twice.
  it('lets no host act under a fencing number that another one has used', async () => {
    await system.waitFor(() => system.cloudCalls.length > 0);
    const copy = system.store.takeCopy();
    const holder = await findHolder();
    await holder?.host.stop();
    system.hosts.splice(system.hosts.indexOf(holder as RunningHost), 1);
    hosts.splice(hosts.indexOf(holder as RunningHost), 1);
    const before = system.cloudCalls.length;
    const sends = () => system.cloudCalls.length > before + 1;
    await callAll('/a/x');
    await system.waitFor(sends);
    await restore(copy);
    const restoredCalls = system.cloudCalls.length;
    await system.waitFor(async () => {
      await callAll('/a/x');
      return system.cloudCalls.length > restoredCalls + 3;
    });
    const byFence = new Map<number, string>();
    let highest = 0;
    const countsByWindow = new Map<unknown, string>();
    for (const {fence, holder: name, body} of system.cloudCalls) {
      expect(fence).to.be.at.least(highest);
      highest = fence;
      expect(byFence.get(fence) ?? name).to.equal(name);
      byFence.set(fence, name);
      const counts = JSON.stringify(body['counts']);
      const window = body['window_number'];
      expect(countsByWindow.get(window) ?? counts).to.equal(counts);
      countsByWindow.set(window, counts);
    }
  }).timeout(60_000);

  async function findHolder(): Promise<RunningHost | undefined> {
    const name = system.cloudCalls.at(-1)?.holder;
    return hosts[HOSTS.indexOf(name ?? '')];
  }
});
