import {expect} from 'chai';
import {createServerKey} from '../../src/server_model/index.js';
import {SilentLog} from '../../src/log/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {HostsFixture} from './hosts_fixture.js';
import {PeerHost} from './peer_host.js';

const MEET_MS = 5000;
const SERVICE = 'desk';
const SERVER = 'engine@1';

/** Adds one answer that takes 80 ms in place of 100. */
function observe({models}: PeerHost): void {
  const kind = {route: 'chat', hasPrefill: true};
  models.observe(
    SERVICE,
    SERVER,
    {
      kind,
      ownTokens: 0,
      aheadTokens: 0,
      occupancy: 0,
      slotWaitMs: 0,
      hopMs: 0,
      expectedMs: 100,
    },
    100,
    80,
  );
}

/** Returns the actual times of a server that a host knows, its own and its peers'. */
function getKnownMs({models, reports}: PeerHost): number {
  const own = models.listSums().servers.get(createServerKey(SERVER))?.[1] ?? 0;
  return (
    own + (reports.sumModels().servers.get(createServerKey(SERVER))?.[1] ?? 0)
  );
}

describe('messages with observations of servers', () => {
  for (const [count, centres] of [
    [6, 2],
    [61, 4],
  ] as const) {
    it(`count each answer once at each of ${count} hosts`, async () => {
      const fixture = new HostsFixture(count, centres);
      await fixture.run(MEET_MS);
      for (const host of fixture.hosts) {
        host.learnsTimes = true;
        observe(host);
      }
      await fixture.run(2000);
      const remaining = 0.5 ** (2000 / 5000);
      const expectedMs = count * 80 * remaining;
      const known = fixture.hosts.map(getKnownMs);
      // Each message rounds the sums, and one may have been under way.
      expect(Math.min(...known)).to.be.greaterThan(expectedMs * 0.9);
      expect(Math.max(...known)).to.be.lessThan(expectedMs * 1.1);
    }).timeout(30_000);
  }

  it('are logged once if they are implausible, and the report is still used', async () => {
    const warnings: string[] = [];
    const log = Object.assign(new SilentLog(), {
      warn: (event: string) => warnings.push(event),
    });
    const self = {host: 'h0', dataCentre: 'dc', address: 'h0:1'};
    const links = {
      requestPeer: async () => ({}),
      listConnected: () => [],
    };
    const clock = new VirtualClock();
    const host = new PeerHost(self, 's', clock, links, log);
    const sender = new HostsFixture(2, 1).hosts[1];
    const heartbeat = sender?.messages.createHeartbeat(
      {...self, incarnation: 's'},
      undefined,
    );
    Object.assign(heartbeat?.kind === 'heartbeat' ? heartbeat.report : {}, {
      loads: [[SERVER, 3, 0]],
      model: {services: [], routes: [], servers: [['k', 1, -5]], late: []},
    });
    const from = {host: 'h1', dataCentre: 'dc', incarnation: 's'};
    await host.messages.handle(heartbeat, from);
    await host.messages.handle(heartbeat, from);
    expect(warnings).to.deep.equal(['server_model_ignored']);
    expect(host.countRunning(SERVER)).to.equal(3);
    expect(host.reports.sumModels().servers.size).to.equal(0);
  });

  it('are summed by an aggregator where the feature is off', async () => {
    const fixture = new HostsFixture(61, 4);
    await fixture.run(MEET_MS);
    for (const host of fixture.hosts) {
      host.learnsTimes = host !== fixture.getAggregator('dc-0');
      observe(host);
    }
    await fixture.run(2000);
    const known = fixture.hosts
      .filter(({learnsTimes}) => learnsTimes)
      .map(getKnownMs);
    expect(Math.min(...known)).to.be.greaterThan(60 * 80 * 0.65);
  }).timeout(30_000);
});
