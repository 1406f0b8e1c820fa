import {expect} from 'chai';
import {TestSystem} from './fakes/test_system.js';

// Guards against wiring that leaves the counts unwritten, or unread by a host that starts.
describe('durable counts on the fake platform', () => {
  const system = new TestSystem();

  before(() => system.start());
  after(() => system.stop());

  function readRow(): string {
    const key = 'sedgefall|control|durable-counts/here';
    const {value = ''} = system.store.takeCopy().rows.get(key) ?? {};
    return Buffer.from(value, 'base64').toString();
  }

  it('are written by the holder of the lease, and read by the next host', async () => {
    const [first] = await system.startHosts(['front-1']);
    for (let count = 0; first !== undefined && count < 3; count++) {
      expect((await system.call(first, '/a/')).status).to.equal(200);
    }
    await system.waitFor(() => readRow().includes('guild'));
    expect(readRow()).to.include('front-1/front-1-1');
    const [second] = await system.startHosts(['front-2']);
    const response = await fetch(`http://${second?.metrics}/metrics`);
    const text = await response.text();
    expect(text).to.match(/durable_counts_reads\{result="ok"\} [1-9]/);
  });
});
