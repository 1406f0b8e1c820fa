import {expect} from 'chai';
import {KnownHosts, PeerMessages} from '../../src/peering/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {UsageLedger} from '../../src/usage/index.js';
import {WINDOW_MS, PeerHost} from './peer_host.js';

const self = {host: 'front-1', dataCentre: 'here', address: '10.0.0.1:1'};
const peer = {host: 'front-2', dataCentre: 'here', address: '10.0.0.2:1'};
const from = {host: 'front-2', dataCentre: 'here', incarnation: 'x'};

describe('messages between hosts', () => {
  let clock: VirtualClock;
  let known: KnownHosts;
  let ledger: UsageLedger;
  let messages: PeerMessages;

  beforeEach(() => {
    clock = new VirtualClock();
    const host = new PeerHost(self, 'a', clock, {
      requestPeer: () => {
        throw new Error('unexpected request to a peer');
      },
      listConnected: () => [],
    });
    ({known, ledger, messages} = host);
    known.addAddress(peer);
  });

  function getReport(acknowledged?: unknown) {
    const message = messages.createHeartbeat(from, acknowledged);
    if (message.kind !== 'heartbeat') {
      throw new Error('expected a heartbeat message');
    }
    return message.report;
  }

  async function countInWindows(count: number): Promise<void> {
    for (let window = 0; window < count; window++) {
      ledger.add('guild', 0);
      await clock.advance(WINDOW_MS);
    }
  }

  it('reports everything at first, and then only what may have changed', async () => {
    await countInWindows(4);
    const first = getReport();
    expect(first.hosts).to.deep.equal([peer]);
    expect(first.usage).to.have.length(4);
    const reply = {hostsVersion: first.hostsVersion};
    const later = getReport(reply);
    expect(later.hosts).to.deep.equal([]);
    expect(later.usage.map(([window]) => window)).to.deep.equal([2, 3]);
  });

  it('sends the list of hosts until the peer has acknowledged it', () => {
    const reply = {hostsVersion: getReport().hostsVersion};
    const other = {...peer, host: 'front-3', address: '10.0.0.3:1'};
    known.addAddress(other);
    expect(getReport(reply).hosts).to.deep.equal([peer, other]);
    expect(getReport(reply).hosts).to.deep.equal([peer, other]);
  });

  it('sends the list of hosts again after 10 s, and to a peer that acknowledges none', async () => {
    const reply = {hostsVersion: getReport().hostsVersion};
    expect(getReport({}).hosts).to.deep.equal([peer]);
    await clock.advance(10_000);
    expect(getReport(reply).hosts).to.deep.equal([peer]);
  });

  it('acknowledges the list of a peer by its version', async () => {
    const report = getReport();
    const reply = await messages.handle({kind: 'heartbeat', report}, from);
    expect(reply).to.deep.equal({hostsVersion: report.hostsVersion});
  });

  it('accepts heartbeats of the previous release', async () => {
    const {hostsVersion: _version, parts: _parts, ...report} = getReport();
    const reply = await messages.handle({kind: 'heartbeat', report}, from);
    expect(reply).to.deep.equal({hostsVersion: 0});
  });
});
