import {expect} from 'chai';
import {PlaceCounter} from '../../src/admission/index.js';
import {HostsFixture} from './hosts_fixture.js';
import {PeerHost} from './peer_host.js';

/** Time in which all hosts learn of each other after the start, in milliseconds. */
const MEET_MS = 7000;
/**
 * Time after which requests in flight of a lost host no longer count, in milliseconds: a
 * report counts for 2 s at its aggregator, and the aggregator's summary for 2 s at the
 * others.
 */
const FORGET_MS = 5000;

describe('requests in flight by customer', () => {
  let fixture: HostsFixture;

  beforeEach(async () => {
    fixture = new HostsFixture(60, 3);
    for (const host of fixture.hosts) {
      host.places = [['desk', 'guild', 2]];
    }
    await fixture.run(MEET_MS);
  }).timeout(30_000);

  function count(host: PeerHost): number {
    const counter = new PlaceCounter(() => host.reports.listPlaces());
    return counter.listAll('desk')[0]?.inFlight ?? 0;
  }

  function listUp(): PeerHost[] {
    return fixture.hosts.filter(({self}) => !fixture.down.has(self.host));
  }

  it('count once at each host', () => {
    expect(new Set(fixture.hosts.map(count))).to.deep.equal(new Set([118]));
  });

  // Guards against shares that are reduced by requests which ended with their hosts.
  it('of many hosts that are killed at once are forgotten', async () => {
    for (const host of fixture.hosts.slice(20)) {
      fixture.kill(host);
    }
    await fixture.run(FORGET_MS);
    expect(new Set(listUp().map(count))).to.deep.equal(new Set([38]));
  }).timeout(30_000);

  it('of a data centre that is cut off are forgotten, and count again afterwards', async () => {
    fixture.reaches = (from, to) =>
      (from.dataCentre === 'dc-0') === (to.dataCentre === 'dc-0');
    await fixture.run(FORGET_MS);
    const [cutOff, other] = fixture.hosts;
    expect(cutOff && count(cutOff)).to.equal(38);
    expect(other && count(other)).to.equal(78);
    // The places of the servers that are not left to hosts unheard of.
    expect(cutOff?.reports.countRecent()).to.equal(19);
    fixture.reaches = () => true;
    await fixture.run(MEET_MS);
    expect(new Set(fixture.hosts.map(count))).to.deep.equal(new Set([118]));
  }).timeout(30_000);

  it('of hosts of the previous release are absent', async () => {
    for (const host of fixture.hosts.slice(30)) {
      host.places = undefined;
    }
    await fixture.run(FORGET_MS);
    expect(fixture.hosts[59] && count(fixture.hosts[59])).to.equal(60);
  }).timeout(30_000);
});
