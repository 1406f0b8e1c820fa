import {expect} from 'chai';
import {SeededRandom} from '../../src/random/index.js';
import {HOST_RATE, VirtualHost, VirtualRequest} from './virtual_host.js';

/** Time of a plain server of deployment N (median). */
const SERVER_MS = 30;
const RUN_MS = 10_000;
/** Time in which an overload is noticed and the queue until then is worked off. */
const NOTICE_MS = 800;
/** Targets of plain requests, chats, summaries and tags of deployment N. */
const KINDS = [
  {rank: 0, targetMs: 200},
  {rank: 0, targetMs: 519},
  {rank: 1, targetMs: 807},
  {rank: 2, targetMs: 2010},
];

/** Runs a host at a multiple of what it can do; returns the requests by rank. */
function run(host: VirtualHost, factor: number): VirtualRequest[][] {
  const random = new SeededRandom(7);
  let atMs = 0;
  for (let index = 0; atMs < RUN_MS; index++) {
    atMs += (-Math.log(1 - random.next()) * 1000) / (HOST_RATE * factor);
    host.arrive(atMs, KINDS[index % KINDS.length]);
  }
  host.loop.runUntil(2 * RUN_MS);
  const noticed = host.results.filter(({startMs}) => startMs >= NOTICE_MS);
  return [0, 1, 2].map(rank => noticed.filter(each => each.rank === rank));
}

const isRefused = ({refusedMs}: VirtualRequest) => refusedMs !== undefined;
const isLate = ({startMs, sentMs = 0, targetMs}: VirtualRequest) =>
  sentMs + SERVER_MS - startMs > targetMs;

function getRefusedShare(requests: readonly VirtualRequest[]): number {
  return requests.filter(isRefused).length / requests.length;
}

describe('HostLoad, with requests at random times', () => {
  describe('at twice what the host can do', () => {
    let host: VirtualHost;
    let byRank: VirtualRequest[][];

    before(() => {
      host = new VirtualHost();
      byRank = run(host, 2);
    });

    it('has no accepted request late', () => {
      expect(byRank.flat().filter(isLate)).to.deep.equal([]);
    });

    it('refuses the rest within 50 ms', () => {
      const waits = byRank
        .flat()
        .filter(isRefused)
        .map(({startMs, refusedMs = 0}) => refusedMs - startMs);
      expect(Math.max(...waits)).to.be.at.most(50);
    });

    it('sends no request after its deadline, from the start', () => {
      const hopeless = host.results.filter(
        ({sentMs = 0, deadlineMs}) => sentMs > deadlineMs,
      );
      expect(hopeless).to.deep.equal([]);
    });

    it('still does most of what it can', () => {
      const accepted = byRank.flat().filter(each => !isRefused(each)).length;
      const possible = (HOST_RATE * (RUN_MS - NOTICE_MS)) / 1000;
      expect(accepted).to.be.greaterThan(0.75 * possible);
    });

    it('refuses less urgent requests first', () => {
      const [urgent = 0, middle = 0, least = 0] = byRank.map(getRefusedShare);
      expect(urgent).to.be.lessThan(0.25);
      expect(middle).to.be.greaterThan(2 * urgent);
      expect(least).to.be.at.least(middle);
    });

    it('logs the start and the end once each', () => {
      const states = host.lines.map(({state}) => state);
      expect(states).to.deep.equal(['start', 'end']);
    });
  });

  it('refuses nothing at 0.8 of what the host can do', () => {
    expect(getRefusedShare(run(new VirtualHost(), 0.8).flat())).to.equal(0);
  });

  it('is needed: without it, most requests at twice the load are late', () => {
    const host = new VirtualHost();
    host.refusesByLoad = false;
    const requests = run(host, 2).flat();
    const late = requests.filter(isLate).length;
    expect(late / requests.length).to.be.greaterThan(0.5);
  });
});
