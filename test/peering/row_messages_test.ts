/** Pattern: servers are replaced while the hosts that report them restart in turn. */
import {expect} from 'chai';
import {VersionedRow} from '../../src/replica/index.js';
import {HostsFixture} from './hosts_fixture.js';
import {TABLE, PeerHost} from './peer_host.js';

const HOSTS = 16;
/** Time in which every host gets the rows that one has read, in milliseconds. */
const TOLD_MS = 2500;
const ONE_DIFFERENCE = /^sedgefall_replicas_different\{table="servers"\} 1$/m;

describe('RowMessages', () => {
  let fixture: HostsFixture;
  /** Reads the table for all hosts. */
  let reader: PeerHost;
  /** Gets the rows only through other hosts. */
  let member: PeerHost;

  beforeEach(async () => {
    fixture = new HostsFixture(HOSTS, 2);
    await fixture.run(TOLD_MS);
    reader = fixture.getAggregator('dc-0');
    member = findMember(fixture, reader);
  });

  async function read(version: number, ...rows: VersionedRow[]): Promise<void> {
    reader.replica.addSnapshot(rows, version, 'store');
    await fixture.clock.advance(50);
  }

  it('resends rows that a host missed even if it receives later rows first', async () => {
    const ready = {key: 'a', version: 100, text: 'ready'};
    await read(100, ready);
    await fixture.run(TOLD_MS);
    expect(member.replica.getText('a')).to.equal('ready');

    fixture.reaches = () => false;
    const draining = {key: 'a', version: 105, text: 'draining'};
    await read(105, draining);
    fixture.reaches = () => true;
    await read(120, draining, {key: 'b', version: 120, text: 'ready'});
    expect(member.replica.getText('b')).to.equal('ready');

    await fixture.run(TOLD_MS);
    expect(member.replica.getText('a')).to.equal('draining');
  });

  it('reports a removal that happened before the reporting host started', async () => {
    const leaving = {key: 'a', version: 100, text: 'ready'};
    const staying = {key: 'b', version: 90, text: 'ready'};
    await read(100, leaving, staying);
    await fixture.run(TOLD_MS);

    const readerCentre = reader.self.dataCentre;
    fixture.reaches = (from, to) =>
      from.dataCentre !== readerCentre && to.dataCentre !== readerCentre;
    await fixture.run(TOLD_MS);
    // All hosts of the data centre restart, so that none has received the removal.
    for (const [index, host] of fixture.hosts.entries()) {
      if (host.self.dataCentre === readerCentre) {
        fixture.start(index);
      }
    }
    await fixture.run(TOLD_MS);
    reader = fixture.getAggregator(readerCentre);
    await read(200, {key: 'b', version: 195, text: 'ready'});
    fixture.reaches = () => true;
    await fixture.run(2 * TOLD_MS);

    const keeping = fixture.hosts.filter(
      ({replica}) => replica.getText('a') !== undefined,
    );
    expect(keeping.map(({self}) => self.host)).to.deep.equal([]);
  });

  it('adopts the age of a peer’s reading only while holding the same rows', async () => {
    const a = {key: 'a', version: 100, text: 'ready'};
    await read(100, a);
    reader.readAge.addRead(TABLE);
    await fixture.run(TOLD_MS);
    expect(member.readAge.getMs(TABLE)).to.be.lessThan(TOLD_MS + 1000);

    member.replica.add({key: 'b', version: 101, text: 'other'}, 'test');
    await fixture.run(TOLD_MS);
    const before = member.readAge.getMs(TABLE);
    reader.readAge.addRead(TABLE);
    await fixture.run(TOLD_MS);
    expect(member.readAge.getMs(TABLE)).to.be.closeTo(before + TOLD_MS, 1);
  });

  it('counts a replica that differs from a peer’s at the same version', async () => {
    await read(100, {key: 'a', version: 100, text: 'ready'});
    await fixture.run(TOLD_MS);
    expect(member.metrics.format()).not.to.match(ONE_DIFFERENCE);

    // Adding a row alone changes the digest but not the version of the replica.
    member.replica.add({key: 'a', version: 101, text: 'other'}, 'test');
    await fixture.run(TOLD_MS);
    expect(member.metrics.format()).to.match(ONE_DIFFERENCE);
  });
});

/** Finds a host that gets the rows of the table only through other hosts. */
function findMember(fixture: HostsFixture, reader: PeerHost): PeerHost {
  const {dataCentre} = reader.self;
  const ranked = reader.known.rankAggregators(dataCentre);
  const last = ranked.at(-1)?.host;
  const found = fixture.hosts.find(({self}) => self.host === last);
  if (found === undefined) {
    throw new Error(`no member in ${dataCentre}`);
  }
  return found;
}
