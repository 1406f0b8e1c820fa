import {expect} from 'chai';
import {VirtualHost} from './virtual_host.js';

const DEADLINE_MS = 400;

describe('HostLoad', () => {
  let host: VirtualHost;

  beforeEach(() => {
    host = new VirtualHost();
  });

  function arriveEvery(intervalMs: number, fromMs: number, toMs: number): void {
    for (let atMs = fromMs; atMs < toMs; atMs += intervalMs) {
      host.arrive(atMs);
    }
  }

  function listRefused(): readonly (string | undefined)[] {
    return host.results.map(({cause}) => cause).filter(Boolean);
  }

  it('accepts requests before it has measured anything', () => {
    arriveEvery(1, 0, 40);
    host.loop.runUntil(45);
    expect(listRefused()).to.deep.equal([]);
  });

  it('takes a single pause of 100 ms for no overload', () => {
    arriveEvery(20, 0, 1000);
    host.loop.addEvent(500, () => host.loop.work(100));
    host.loop.runUntil(2000);
    expect(listRefused()).to.deep.equal([]);
    expect(host.lines).to.deep.equal([]);
  });

  it('is not affected by a wall clock that steps', () => {
    arriveEvery(20, 0, 1000);
    host.loop.addEvent(500, () => (host.loop.wallStepMs = -3_600_000));
    host.loop.runUntil(2000);
    expect(listRefused()).to.deep.equal([]);
  });

  it('refuses at once what waited for too long while the host was frozen', () => {
    host.loop.runUntil(100);
    host.loop.addEvent(100, () => host.loop.freeze(2000));
    // The estimate is that of a request that arrived when the pause began.
    const waiting = host.arrive(120);
    const later = host.arrive(2300);
    host.loop.runUntil(3000);
    expect(waiting.cause).to.equal('deadline');
    expect(waiting.refusedMs).to.be.lessThan(2110);
    expect(later.cause).to.equal(undefined);
    expect(later.sentMs).to.be.lessThan(2300 + DEADLINE_MS);
  });

  it('spreads the returns of refused callers, the urgent ones first', () => {
    const meanS = [0, 1, 2].map(rank => {
      const crowded = new VirtualHost();
      for (let atMs = 0; atMs < 3000; atMs += 2) {
        crowded.arrive(atMs, {rank});
      }
      crowded.loop.runUntil(3000);
      const delaysS = crowded.results.flatMap(({retryS}) => retryS ?? []);
      expect(new Set(delaysS).size).to.be.greaterThan(100);
      expect(Math.max(...delaysS)).to.be.greaterThan(2 * Math.min(...delaysS));
      return delaysS.reduce((sum, each) => sum + each, 0) / delaysS.length;
    });
    expect(meanS).to.deep.equal([...meanS].sort((a, b) => a - b));
  });

  it('refuses a customer above its share before the others', () => {
    for (let index = 0; index < 1500; index++) {
      const customer = index % 6 === 0 ? 'small' : 'large';
      host.arrive(index * 6, {targetMs: 519, rank: 0, customer});
    }
    host.loop.runUntil(20_000);
    const [small = 0, large = 0] = ['small', 'large'].map(customer => {
      const own = host.results.filter(each => each.customer === customer);
      return own.filter(({cause}) => cause !== undefined).length / own.length;
    });
    expect(small).to.be.lessThan(large / 4);
  });
});
