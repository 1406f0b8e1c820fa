import {expect} from 'chai';
import {Repeat, Route} from '../../src/catalog/index.js';
import {FleetState} from '../../src/fleet/index.js';
import {
  createServer,
  disconnectAfter,
  formatEvents,
  RelayFixture,
} from './relay_fixture.js';

// Guards against CONFIG and GONE: a request was held long after its run had ended, since the run
// still counted as in progress while the end of its connection was examined.
describe('a run that has ended', () => {
  it('is not relocated from a server that leaves', async () => {
    const route: Partial<Route> = {streaming: true, repeat: Repeat.ONCE};
    const fixture = new RelayFixture(disconnectAfter(1, 2));
    const check = fixture.reachability.check.bind(fixture.reachability);
    fixture.reachability.check = async (...params) => {
      // The server announces that it leaves while this host tries to connect to it.
      const server = fixture.fleet.get(fixture.listServers()[0] ?? '');
      fixture.fleet.register(
        {
          ...createServer(server?.id ?? '', FleetState.DRAINING),
          leavesMs: 6000,
        },
        'test',
      );
      await new Promise(resolve => setTimeout(resolve, 20));
      return check(...params);
    };
    const beganMs = performance.now();
    const sink = await fixture.serve(route, 5000);
    expect(sink.body).to.equal(formatEvents(1, 2).join(''));
    expect(performance.now() - beganMs).to.be.below(1000);
    expect(fixture.copies).to.deep.equal([]);
  });
});
