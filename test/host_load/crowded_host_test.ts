import {expect} from 'chai';
import {SeededRandom} from '../../src/random/index.js';
import {HOST_RATE, VirtualHost, VirtualRequest} from './virtual_host.js';

/**
 * Guards against RECOVER: the load balancer gives one host nearly all new connections. It read
 * each request after its caller had left, and served none, while the other hosts were idle.
 */
describe('HostLoad, at a host that gets most of the connections', () => {
  const RUN_MS = 10_000;
  /** Time in which the hosts must cope with it, as the users' page states it. */
  const CONTACT_MS = 3000;
  /** Time after which callers leave if their request is not read. */
  const UNREAD_MS = 1000;
  /** Share of the requests that the host reads which it must serve, as the page states it. */
  const MIN_SERVED_SHARE = 0.75;
  const TARGET_MS = 400;
  const FACTORS = [1.5, 2, 4, 8];

  /** Runs a host at a multiple of what it can do; returns the requests from then on. */
  function run(host: VirtualHost, factor: number): VirtualRequest[] {
    const random = new SeededRandom(7);
    host.refusesByLoad = false;
    let atMs = 0;
    while (atMs < RUN_MS) {
      atMs += (-Math.log(1 - random.next()) * 1000) / (HOST_RATE * factor);
      host.arrive(atMs, {rank: 0, targetMs: TARGET_MS});
    }
    host.loop.runUntil(20 * RUN_MS);
    return host.results.filter(({startMs}) => startMs >= CONTACT_MS);
  }

  const isServed = ({startMs, sentMs = Infinity}: VirtualRequest) =>
    sentMs - startMs < UNREAD_MS;
  const isShed = ({shedMs}: VirtualRequest) => shedMs !== undefined;

  for (const factor of FACTORS) {
    it(`closes connections unread and serves what it reads at ${factor} times its rate`, () => {
      const host = new VirtualHost();
      host.peerLoad = 1;
      const requests = run(host, factor);
      const read = requests.filter(request => !isShed(request));
      expect(read.length).to.be.greaterThan(0);
      const served = read.filter(isServed);
      expect(served.length / read.length).to.be.at.least(MIN_SERVED_SHARE);
      // A caller whose connection is closed has the time to be served elsewhere.
      const waits = requests
        .filter(isShed)
        .map(({startMs, shedMs = 0}) => shedMs - startMs);
      expect(Math.max(...waits)).to.be.lessThan(UNREAD_MS);
    });
  }

  // Guards against callers that are sent away where no host has room for them.
  it('closes none if the other hosts have as much to do, or do not report', () => {
    for (const peerLoad of [undefined, 1000]) {
      const host = new VirtualHost();
      host.peerLoad = peerLoad;
      expect(run(host, 1.5).filter(isShed)).to.have.length(0);
    }
  });

  it('closes none at a host that keeps up', () => {
    const host = new VirtualHost();
    host.peerLoad = 0;
    expect(run(host, 0.7).filter(isShed)).to.have.length(0);
  });
});
