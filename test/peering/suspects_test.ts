import {expect} from 'chai';
import {HostsFixture} from './hosts_fixture.js';
import {PeerHost} from './peer_host.js';

/** Time in which all hosts learn of each other after the start, in milliseconds. */
const MEET_MS = 5000;
/** Time in which all hosts have to know a suspect request, in milliseconds. */
const KNOWN_MS = 3000;
const CONTENT = 'c1';

describe('messages about requests that terminate servers', () => {
  /** Records a server termination under one request at each host. */
  function endServers(hosts: readonly PeerHost[]): void {
    for (const [index, {quarantine}] of hosts.entries()) {
      quarantine.addTermination(CONTENT, `s${index}`, index);
    }
  }

  function countUnaware(fixture: HostsFixture): number {
    return fixture.hosts.filter(
      ({self, quarantine}) =>
        !fixture.down.has(self.host) &&
        quarantine.getRemainingBlockMs(CONTENT) === 0,
    ).length;
  }

  for (const [count, centres] of [
    [8, 4],
    [89, 3],
    [195, 6],
    [350, 25],
  ] as const) {
    it(`reaches ${count} hosts in ${centres} data centres in time`, async () => {
      const fixture = new HostsFixture(count, centres);
      await fixture.run(MEET_MS);
      endServers(fixture.hosts.slice(-3));
      await fixture.run(KNOWN_MS);
      expect(countUnaware(fixture)).to.equal(0);
    }).timeout(60_000);
  }

  it('reaches a host that starts later', async () => {
    const fixture = new HostsFixture(8, 4);
    await fixture.run(MEET_MS);
    endServers(fixture.hosts.slice(0, 3));
    fixture.kill(fixture.hosts[7] as PeerHost);
    await fixture.run(KNOWN_MS);
    fixture.start(7);
    await fixture.run(KNOWN_MS);
    expect(countUnaware(fixture)).to.equal(0);
  });

  it('reaches a data centre after a partition', async () => {
    const fixture = new HostsFixture(89, 3);
    await fixture.run(MEET_MS);
    const isCut = (dataCentre: string) => dataCentre === 'dc-2';
    fixture.reaches = (from, to) =>
      isCut(from.dataCentre) === isCut(to.dataCentre);
    await fixture.run(MEET_MS);
    // Two terminations are recorded on one side of the partition and one on the other.
    const inside = fixture.hosts.filter(({self}) => isCut(self.dataCentre));
    const outside = fixture.hosts.filter(({self}) => !isCut(self.dataCentre));
    endServers([...outside.slice(-2), ...inside.slice(-1)]);
    await fixture.run(MEET_MS);
    expect(countUnaware(fixture)).to.equal(89);
    fixture.reaches = () => true;
    // A closed link is tried again after at most eight seconds.
    await fixture.run(8000 + KNOWN_MS);
    expect(countUnaware(fixture)).to.equal(0);
  }).timeout(60_000);

  it('adds nothing to a heartbeat while there is no suspect', async () => {
    const fixture = new HostsFixture(8, 4);
    await fixture.run(MEET_MS);
    const [host, peer] = fixture.hosts as [PeerHost, PeerHost];
    const beat = host.messages.createHeartbeat(
      {...peer.self, incarnation: peer.incarnation},
      undefined,
    );
    expect(JSON.stringify(beat)).not.to.contain('suspects');
  });
});
